@entry
Feature: Addresses for callers

  Scenario Outline: should give callers the nodes of their zone in a fleet of <nodes> alike nodes
    Given <nodes> alike nodes in <zones> zones, each with callers that load it to 20 percent
    When callers use the fleet for 20 seconds
    Then callers of each zone have <addresses> addresses, of <answered> zones

    Examples:
      | nodes | zones | addresses | answered |
      | 4     | 3     | 4         | 3        |
      | 5     | 3     | 5         | 3        |
      | 36    | 3     | 12        | 1        |
      | 60    | 3     | 20        | 1        |
      | 300   | 5     | 60        | 1        |
      | 300   | 3     | 64        | 1        |

  Scenario: should give each zone all its uneven nodes when the strong ones are too few
    Given 6 nodes of 1.35 cores and 59 of 0.324 cores in 3 zones
    And callers that need 1.7 cores in each zone
    When callers use the fleet for 60 seconds
    Then callers of each zone have all nodes of their zone, and no other
    And no node was loaded to more than 30 percent
    And no caller dropped an address

  Scenario: should rate a node by its link when the link is the narrower
    Given 12 nodes of 1 core and 200 Mbit/s and 12 of 1 core and 1 Mbit/s in 1 zone
    And callers that need 1.2 cores in each zone
    When callers use the fleet for 20 seconds
    Then callers have the first 12 nodes

  Scenario: should leave out weak nodes only while the others have ample room
    Given 8 nodes of 1 core and 40 of 0.3 cores in 1 zone
    And callers that need 1 core in each zone
    When callers use the fleet for 40 seconds
    Then callers have the first 8 nodes
    When callers need 4 cores in each zone
    And callers use the fleet for 10 seconds
    Then callers have the first 48 nodes
    When callers need 1 core in each zone
    And callers use the fleet for 60 seconds
    Then callers have the first 8 nodes
    And no answer lacked more than 12 addresses of the one before it

  Scenario: should leave out nodes that would be the first to be overloaded
    Given 20 nodes of 1 core and 2 of 0.05 cores in 1 zone
    And callers that need 10 cores in each zone
    When callers use the fleet for 20 seconds
    Then callers have the first 20 nodes

  Scenario: should send callers to other zones when their zone gets most of them
    Given 36 alike nodes in 3 zones, each with callers that load it to 30 percent
    When callers use the fleet for 20 seconds
    And callers of zone 0 load it to 72 percent, and those of other zones to 9 percent
    And callers use the fleet for 10 seconds
    Then no node is loaded to more than 50 percent
    And no caller dropped an address
    When callers of each zone load it to 20 percent
    And callers use the fleet for 90 seconds
    Then callers of each zone have all nodes of their zone, and no other
    And no answer lacked more than 10 addresses of the one before it

  Scenario: should use all nodes when only one zone has callers, more than its nodes can carry
    Given 36 alike nodes in 3 zones, each with callers that load it to 0 percent
    When callers use the fleet for 20 seconds
    And callers of zone 0 load it to 160 percent, and those of other zones to 0 percent
    And callers use the fleet for 10 seconds
    Then no node is loaded to more than 65 percent
    When callers use the fleet for 50 seconds
    Then no node is loaded to more than 55 percent
    And each node has callers

  Scenario: should not send callers to zones that are loaded as much
    Given 36 alike nodes in 3 zones, each with callers that load it to 80 percent
    When callers use the fleet for 30 seconds
    Then callers of each zone have all nodes of their zone, and no other

  Scenario: should give callers all other nodes when their zone's nodes are gone
    Given 36 alike nodes in 3 zones, each with callers that load it to 20 percent
    When callers use the fleet for 20 seconds
    And all nodes of zone 0 end
    And callers use the fleet for 4 seconds
    Then callers of zone 0 have all nodes of the other zones
    When all nodes of zone 0 start again
    And callers use the fleet for 4 seconds
    Then callers of zone 0 have 36 addresses
    When callers use the fleet for 60 seconds
    Then callers of each zone have all nodes of their zone, and no other
    And no answer lacked more than 10 addresses of the one before it

  Scenario: should give callers all nodes when few of their zone remain
    Given 36 alike nodes in 3 zones, each with callers that load it to 20 percent
    When callers use the fleet for 20 seconds
    And 7 nodes of zone 0 end
    And callers use the fleet for 4 seconds
    Then callers of zone 0 have 29 addresses

  Scenario: should leave out a node that turns slow, and take it back when it has recovered
    Given 36 alike nodes in 3 zones, each with callers that load it to 30 percent
    When callers use the fleet for 20 seconds
    And a node turns 6 times slower
    And callers use the fleet for 6 seconds
    Then no caller has the node's address
    When callers use the fleet for 60 seconds
    Then callers gained or lost the node's address at most 6 times
    When the node recovers
    And callers use the fleet for 60 seconds
    Then all callers of its zone have the node's address
    And no caller dropped an address of another node

  Scenario: should leave out no node when all are overloaded
    Given 36 alike nodes in 3 zones, each with callers that load it to 120 percent
    When callers use the fleet for 40 seconds
    Then callers of each zone have all nodes of their zone, and no other

  Scenario: should leave out only some of many slow nodes
    Given 36 alike nodes in 3 zones, each with callers that load it to 20 percent
    When callers use the fleet for 20 seconds
    And 18 nodes turn 6 times slower
    And callers use the fleet for 20 seconds
    Then callers have 27 different addresses

  Scenario: should give the only node that serves although it is behind
    Given 1 alike nodes in 1 zones, each with callers that load it to 120 percent
    When callers use the fleet for 20 seconds
    Then callers of each zone have 1 addresses, of 1 zones

  Scenario: should not flap when demand swings
    Given 36 alike nodes in 3 zones, each with callers that load it to 30 percent
    When callers use the fleet for 20 seconds
    And the demand of zone 0 swings by 55 percent around 50 percent every 11 seconds, for 120 seconds
    Then callers dropped at most 24 addresses each

  Scenario: should answer alike from every node
    Given 36 alike nodes in 3 zones, each with callers that load it to 30 percent
    When callers use the fleet for 20 seconds
    And callers of zone 0 load it to 72 percent, and those of other zones to 9 percent
    And callers use the fleet for 10 seconds
    Then every node gives callers of zone 0 the same addresses

  Scenario: should keep a zone's plan when the node that decides it ends or starts again
    Given 36 alike nodes in 3 zones, each with callers that load it to 30 percent
    When callers use the fleet for 20 seconds
    And callers of zone 0 load it to 72 percent, and those of other zones to 9 percent
    And callers use the fleet for 10 seconds
    And the first node of zone 0 ends
    And callers use the fleet for 10 seconds
    And the first node of zone 0 starts again
    And callers use the fleet for 10 seconds
    Then no caller dropped an address

  Scenario: should name all nodes of a large zone together when one answer can't carry its callers
    Given 300 alike nodes in 3 zones, each with callers that load it to 45 percent
    When callers use the fleet for 30 seconds
    Then callers of each zone have 64 addresses, of 1 zones
    And each node has callers

  Scenario: should return all serving nodes until each says its capacity
    Given 36 alike nodes in 3 zones, each with callers that load it to 20 percent
    And 1 node is of an earlier version
    When callers use the fleet for 20 seconds
    Then callers of each zone have 36 addresses, of 3 zones
    And nodes report that 1 node doesn't say its capacity
    When it is upgraded
    And callers use the fleet for 60 seconds
    Then callers of each zone have all nodes of their zone, and no other
    And no answer lacked more than 10 addresses of the one before it

  Scenario: should return 64 of 65 nodes of an earlier version
    Given 65 alike nodes in 3 zones, each with callers that load it to 20 percent
    And 65 nodes are of an earlier version
    When callers use the fleet for 20 seconds
    Then callers of each zone have 64 addresses, of 3 zones

  Scenario: should decide a few times a second, however often callers ask and whatever zones they name
    Given 36 alike nodes in 3 zones, each with callers that load it to 20 percent
    When callers use the fleet for 20 seconds
    And one node is asked 1000 times in a second, each time for another zone
    Then it read the nodes at most 1100 times and keeps numbers of at most 12 zones
    And each answer had 36 addresses

  Scenario: should tell peers its capacity, load and plan in few bytes
    Given a status with a plan of 80 helpers of 63 letters and a load that is no round number
    Then its peers read the capacity, the load and 64 helpers
    And the plan takes at most 4400 bytes, and the rest at most 40

  Scenario Outline: should reject a status whose <part> is <value>
    Given a status whose <part> is <value>
    Then its peers reject the message

    Examples:
      | part  | value                     |
      | entry | [0, 200, 0.1, false]      |
      | entry | [1, -1, 0.1, false]       |
      | entry | [1, 200, -0.1, false]     |
      | entry | [1e9, 200, 0.1, false]    |
      | plan  | [false, false, -1, []]    |
      | plan  | [false, false, 0.5, []]   |
      | plan  | [false, false, 1, [7]]    |

  Scenario Outline: should report a bad capacity in the settings
    Given node settings with "<line>"
    Then the problem names section "node", key "<key>" and expects "<expected>"

    Examples:
      | line                  | key             | expected                        |
      | processor_share = 0   | processor_share | a number above 0                |
      | processor_share = 50% | processor_share | a number                        |
      | processor_share = -1  | processor_share | a number                        |
      | cores = 0             | cores           | a number above 0                |
      | cores = many          | cores           | a number                        |

  Scenario: should take the capacity from the platform's limits, if it has any
    When the settings template is filled in with limits
    Then the settings have a processor share of 0.675, 2 cores and a link of 200
    When the settings template is filled in without limits
    Then the settings have no processor share

  Scenario: should answer callers of whole nodes by zone, and say so in metrics and logs
    Given 21 whole nodes with a capacity in their settings
    When the whole nodes run for 10 seconds
    Then each whole node gives callers of its zone the 7 nodes of the zone
    When the whole nodes run for 1 seconds
    Then its metrics and its log say so

  Scenario: should answer callers of whole nodes with all of them while one has no capacity
    Given 21 whole nodes, of which all but 1 have a capacity in their settings
    When the whole nodes run for 10 seconds
    Then each whole node gives callers of its zone 21 addresses

  Scenario: should spread a plan with helpers to all whole nodes
    Given 21 whole nodes with a capacity in their settings
    When those of zone "z0" are busy for 80 percent of the time
    And the whole nodes run for 10 seconds
    Then all whole nodes give callers of zone "z0" the same addresses, of 12 nodes
    And all whole nodes give callers of zone "z1" the same addresses, of 7 nodes

  Scenario: should drop the address of a whole node that ends
    Given 21 whole nodes with a capacity in their settings
    When the whole nodes run for 10 seconds
    And the second one is terminated
    And the whole nodes run for 1 seconds
    Then no running whole node gives callers its address
