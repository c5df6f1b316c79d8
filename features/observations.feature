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

  Scenario: should not pass on what a peer observed
    Given 5 nodes that share observations, with messages that take up to 40 milliseconds
    When node 3 learns from a peer that an upstream is suspected and that another one responded
    Then the next status of node 3 has neither

  Scenario: should not take up a cleared crash again when a peer dates it later
    Given 5 nodes that share observations, with messages that take up to 40 milliseconds
    When node 3 learns of a crash before a response to the same part, and again with a later time
    Then node 3 suspects no part
