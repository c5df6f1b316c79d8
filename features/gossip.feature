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
