@host-entries
Feature: Entries of simulated hosts in the store

  Scenario Outline: should show entries of hosts late
    Given a store that shows entries <mode>
    When a host writes 20 entries in 2 seconds
    Then the entries appear <order>
    And the last entry is shown within <ms> milliseconds

    Examples:
      | mode      | order                         | ms   |
      | late      | in the order of their writing | 2500 |
      | reordered | in another order              | 4000 |

  Scenario: should show the entry of a host that was turned away again
    Given a store that turns a host away for 6 seconds
    Then the entry is old after 3500 milliseconds
    And the entry is absent after 5900 milliseconds
    And the entry is current after 8000 milliseconds
