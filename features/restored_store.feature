@restored-store
Feature: A store that comes back from an older copy

  # Guards against lost revisions that are taken for newer than those given out again.
  Scenario Outline: should stop requests to a host that leaves while revisions are given out again
    Given <nodes> nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When <times> times the store loses 6 seconds and is away for <away> milliseconds, and a host leaves <after> milliseconds later
    Then no node sends requests to a host 3 seconds after the restored store showed that it leaves

    Examples:
      | nodes | times | away | after |
      | 5     | 1     | 1000 | 0     |
      | 5     | 2     | 300  | 700   |
      | 12    | 2     | 1000 | 0     |
      | 34    | 1     | 2000 | 200   |

  # Guards against a node that was cut off and refuses what peers read since.
  Scenario: should learn from peers of a host that leaves when cut off during the restoration
    Given 12 nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When the last node is cut off from the store for 12 seconds, in which the store loses 6 seconds and a host leaves
    Then no node sends requests to a host 3 seconds after the restored store showed that it leaves

  # Guards against an older copy that makes a leaving host look as if it served.
  Scenario Outline: should send no requests to a host that it knows to be <how> when the copy lists it as serving
    Given 5 nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When a host is <how> and the store loses 6 seconds, which are written again 1500 milliseconds later
    Then no node sends it a request after it learned of it

    Examples:
      | how       |
      | announced |
      | removed   |

  # Guards against hosts that are dropped because the copy is older than they are.
  Scenario Outline: should keep serving hosts that the copy lacks until they announce themselves again
    Given 5 nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When hosts replace all others and the store loses 6 seconds in <away> milliseconds, which are written again 900 milliseconds later
    Then all requests are answered

    Examples:
      | away |
      | 1000 |
      | 2000 |

  # Guards against a zone that comes back into service because the copy is older.
  Scenario: should keep a zone out of service that the copy lacks until the operator writes again
    Given 5 nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When a zone is taken out of service and the store loses 6 seconds, which are written again 900 milliseconds later
    Then no node puts the zone back into service

  # Guards against a change of the operator that waits until revisions have caught up.
  Scenario Outline: should put a catalog in force that is written while revisions are given out again
    Given <nodes> nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When <times> times the store loses 6 seconds with a catalog, which is written again with the next one
    Then every node has the newest catalog in force within 3 seconds, and never an older one than before

    Examples:
      | nodes | times |
      | 5     | 1     |
      | 12    | 2     |

  # Guards against a second leader, and terms that were given out before.
  Scenario Outline: should have one leader with a new term after <loss>
    Given 5 nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When the store loses <loss>
    Then 6 seconds later one node leads, in the newest era, with a term above all earlier ones

    Examples:
      | loss                                               |
      | the key of the leader                              |
      | the key of the leader, and its lease id is reused  |
      | the end of an earlier leader's lease               |
      | the key of the leader twice                        |

  # Guards against any order of restorations, nodes without the store, hosts that leave,
  # catalogs and lost leaders.
  Scenario Outline: should hold its promises whenever the store is restored
    Given <nodes> nodes with seed <seed> that may send requests to a leaving host for 3 seconds
    When in 4 rounds the store is restored and turns nodes away while hosts leave, catalogs change and leaders end
    Then every node in touch followed the store within 3 seconds, under one leader with rising terms

    Examples:
      | nodes | seed |
      | 5     | 1    |
      | 5     | 2    |
      | 5     | 3    |
      | 9     | 4    |
      | 12    | 5    |
      | 12    | 6    |

  # Guards against a catalog that an older one of the copy confirms.
  Scenario: should not confirm the catalog in force by an older one that the copy has
    Given a node with the catalog in force that the store has
    When the store loses that catalog
    Then the catalog stays in force, and isn't confirmed until it is written again

  # Guards against keys that were revoked in the lost era and count as confirmed.
  Scenario: should not confirm a catalog at once that the store may have replaced and lost
    Given a node with the catalog in force that the store has
    When the store loses a catalog that the node never read
    Then the catalog is confirmed 1 second later, but not at once
