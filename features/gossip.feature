@gossip
Feature: What nodes tell each other

  Scenario Outline: should hear every node of the fleet in time, with few messages
    Given <nodes> nodes that gossip
    When they run for 10 seconds
    Then every node knows <others> others as live all the time
    And what a node knows of another is at most <age> milliseconds old
    And each node gets at most <messages> messages a second

    Examples:
      | nodes | others | age | messages |
      | 5     | 4      | 200 | 45       |
      | 34    | 33     | 700 | 30       |
      | 68    | 67     | 700 | 45       |

  Scenario: should hear of the others again soon after a hub has ended
    Given 34 nodes that gossip
    When the hub of a zone ends
    Then 2 seconds later every other node knows 32 others, at most 700 milliseconds old

  Scenario: should stay known to all when it can't reach the hub of its zone
    Given 34 nodes that gossip
    When node 20 can't reach the hub of its zone for 10 seconds
    Then every node knows 33 others as live all the time

  Scenario: should tell urgent news to all at once
    Given 34 nodes that gossip
    When node 20 has urgent news
    Then every other node knows it 40 milliseconds later

  Scenario: should not pass on what waited while the hub stood still
    Given 34 nodes that gossip
    When the hub of a zone has stood still for 5 seconds and goes on
    Then nothing that it passes on in the next 300 milliseconds is of another node

  Scenario: should hear of changed hosts from those that read the store, with few calls
    Given 12 nodes that follow a store, 3 of them readers
    When hosts change 5 times a second for 20 seconds
    Then every node knows each change 300 milliseconds later
    And all nodes together call the store at most 30 times a second

  Scenario: should not ask the store when hosts change so often that older changes are stale
    Given 12 nodes that follow a store, 3 of them readers
    When 20 hosts change 3 times each within 300 milliseconds
    Then every node knows each change 400 milliseconds later
    And told nodes asked for hosts at most 2 times

  Scenario: should follow the store by itself when no reader is heard
    Given 12 nodes that follow a store, 3 of them readers
    When no node hears another for 10 seconds
    Then every node knows each of 8 changes in a row 1000 milliseconds later

  Scenario: should not take an old change from a peer
    Given 12 nodes that follow a store, 3 of them readers
    When a peer tells of a host as it was before it left
    Then no node takes the host up again

  Scenario: should learn of an operator's document when its own wait is silent
    Given 12 nodes that follow a store, 3 of them readers
    When the waits of node 9 are never answered and a zone is taken out
    Then node 9 has taken the zone out 1500 milliseconds later

  Scenario: should notice that the last change of a host was lost on the way
    Given 12 nodes that follow a store, 3 of them readers
    When every message is lost for 900 milliseconds in which a host leaves
    Then every node knows each change 500 milliseconds later

  Scenario: should not ask the store again for changes that a listing covers
    Given 12 nodes that follow a store, 3 of them readers
    When a host leaves and one node lists again after it
    Then all nodes together call the store at most 30 times a second in 20 seconds

  Scenario: should notice that a change of a host was lost on the way
    Given 12 nodes that follow a store, 3 of them readers
    When every message is lost for 600 milliseconds in which a host leaves, and another changes later
    Then every node knows each change 1500 milliseconds later
