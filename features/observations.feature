@gossip
Feature: Observations that nodes share

  Scenario Outline: should suspect an upstream once when it responds while messages are under way
    Given <nodes> nodes that share observations, with messages that take up to 40 milliseconds
    When node 3 suspects an upstream whose responses reach one node after the other
    Then no node has suspected the upstream more than once
    And no node suspects the upstream
    And each node received at most <messages> messages a second

    Examples:
      | nodes | messages |
      | 5     | 60       |
      | 34    | 45       |

  Scenario Outline: should quarantine a sound prompt part at most once when responses begin while messages are under way
    Given <nodes> nodes that share observations, with messages that take up to 40 milliseconds
    When upstreams crash at 3 moments on node 3 with a prompt part to which responses begin now and then
    Then no node has quarantined the part more than once
    And no node refuses the part
    And each node received at most <messages> messages a second

    Examples:
      | nodes | messages |
      | 5     | 60       |
      | 34    | 45       |

  Scenario: should suspect an upstream again when it fails again after it responded
    Given 5 nodes that share observations, with messages that take up to 40 milliseconds
    When node 3 suspects an upstream twice, and the upstream responds in between
    Then every node suspects the upstream

  Scenario: should share a quarantine with a node that starts later
    Given 5 nodes that share observations, with messages that take up to 40 milliseconds
    When upstreams crash at 3 moments on node 3 with a prompt part to which no response begins
    Then every node refuses the part
