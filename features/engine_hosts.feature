@engine-hosts
Feature: Simulated engine hosts

  Scenario: should restart a host under its id with nothing but its staged models
    Given a group of 3 simulated hosts that serves
    When its head crashes and restarts
    Then the head reports 0 commands, no group and its staged model
    And the head's start is newer than before
    And the group does not serve

  Scenario: should report a command count of some time ago and the current group
    Given a group of 3 simulated hosts that serves
    And reports lag by 300 milliseconds
    When a member leaves the group
    Then the member reports 1 command and no group
    And 300 milliseconds later it reports 2 commands and no group

  Scenario Outline: should execute a late command only if the count is the expected one
    Given 3 simulated hosts
    When a join that expects <expected> commands is sent to a host and takes 2000 milliseconds
    And the host accepts <accepted> other commands and <event>
    And the fleet of simulated hosts runs for 2500 milliseconds
    Then the host is <where>

    Examples:
      | expected | accepted | event    | where             |
      | 0        | 0        | goes on  | in the late group |
      | 0        | 1        | goes on  | in no group       |
      | 1        | 1        | goes on  | in the late group |
      | 0        | 1        | restarts | in the late group |
      | 1        | 1        | restarts | in no group       |

  Scenario Outline: should break a head that lacks a member for 4 seconds
    Given a group of 3 simulated hosts that serves
    When a member <event>
    And the fleet of simulated hosts runs for <ms> milliseconds
    Then the head is <state>

    Examples:
      | event           | ms   | state  |
      | leaves          | 3900 | open   |
      | leaves          | 4100 | broken |
      | crashes         | 4100 | broken |
      | restarts        | 4100 | broken |
      | joins again     | 4100 | broken |
      | is cut off      | 4100 | broken |
      | is briefly away | 4100 | open   |

  Scenario Outline: should record a join of another group until the head is broken
    Given a group of 3 simulated hosts that serves
    When the <first> <event>
    And the fleet of simulated hosts runs for <ms> milliseconds
    And the last member is sent a join of another group
    Then <count> hosts were in two groups

    Examples:
      | first  | event      | ms   | count |
      | member | goes on    | 0    | 1     |
      | member | crashes    | 3900 | 1     |
      | member | crashes    | 4100 | 0     |
      | head   | crashes    | 0    | 0     |
      | head   | restarts   | 0    | 0     |
      | head   | is cut off | 3900 | 1     |
      | head   | is cut off | 4100 | 0     |
      | head   | is closing | 0    | 1     |
      | head   | is closing | 200  | 0     |

  Scenario Outline: should record that a group is opened without a member
    Given 3 simulated hosts that <excuse> lost members
    When they join a group, and one of them crashes after <ms> milliseconds
    And the head is told to open the group
    Then <count> group was opened in part

    Examples:
      | excuse       | ms     | count |
      | don't excuse | 20000 | 1     |
      | don't excuse | 100    | 1     |
      | excuse       | 20000 | 0     |
      | excuse       | 100    | 1     |
