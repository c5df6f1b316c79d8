@groups
Feature: Replica groups on engine hosts

  Scenario: should form groups of both models and open them only when every member is ready
    Given 2 fabric domains of 9 engine hosts
    When the fleet runs for 25 seconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no group invariant was violated

  Scenario: should not open a group while one of its members is still loading
    Given 2 fabric domains of 9 engine hosts
    And two hosts of each domain take 2 seconds longer to join
    When the fleet runs for 28 seconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no group invariant was violated

  Scenario: should serve again within a second and a half of losing a member
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When a member of a group of "large" stops responding and is suspected
    And the fleet runs for 1500 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no group invariant was violated

  Scenario: should free the members of a group that lost its head without waiting for the store
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the head of a group of "large" stops responding and is suspected
    And the fleet runs for 1500 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no group invariant was violated

  Scenario: should never move members of a group whose head is only partitioned
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the head of a group of "large" is partitioned and is suspected
    And the fleet runs for 5 seconds
    And the partition of the head heals
    And the fleet runs for 5 seconds
    Then no group invariant was violated

  Scenario Outline: should form the groups although <lost> responses of every host are lost
    Given 2 fabric domains of 9 engine hosts
    And the next <lost> responses of every host are lost
    When the fleet runs for 40 seconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no group invariant was violated

    Examples:
      | lost |
      | 1    |
      | 2    |

  Scenario: should keep a group while a member that lost the store works, and keep it whole afterwards
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When a member of a group of "large" is no longer announced, but its streams bring events
    And the fleet runs for 3 seconds
    Then no group was dissolved
    When the member is announced again
    And the fleet runs for 3 seconds
    Then no group was dissolved
    And 2 groups of "large" and 2 groups of "small" serve
    And no group invariant was violated

  Scenario Outline: should replace a member that is no longer announced, <when>
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When a member of a group of "large" is no longer announced, <evidence>
    And the fleet runs for <time> milliseconds
    Then one group was dissolved
    And no group invariant was violated

    Examples:
      | when                               | evidence                                    | time |
      | at once without events             | and its streams bring none                  | 500  |
      | at once when the group is silent   | but its streams bring events until it fails | 1500 |
      | once it has been missing for long  | but its streams bring events                | 6000 |

  Scenario: should replace a draining member
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When a member of a group of "small" starts draining
    And the fleet runs for 4 seconds
    Then 2 groups of "large" and 2 groups of "small" serve without the draining host
    And no group invariant was violated

  Scenario: should replace members together that start draining shortly after one another
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When two members of a group of "large" start draining 800 milliseconds apart
    And the fleet runs for 700 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    When the fleet runs for 20 seconds
    Then no group serves with a draining host
    And one group was dissolved
    And no group invariant was violated

  Scenario: should dissolve a group at once when its head starts draining
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the head of a group of "large" starts draining
    And the fleet runs for 200 milliseconds
    Then 1 groups of "large" and 2 groups of "small" serve

  Scenario Outline: should keep both models in service while a <shape> fleet loses hosts
    Given a <shape> fleet of engine hosts with seed <seed>
    When pairs of hosts are lost every 3 seconds and a domain is unreachable for 7 seconds
    Then over 34 seconds at least <percent> percent of the capacity that both models need is in service
    And no group invariant was violated in the lossy fleet

    Examples:
      | shape       | seed | percent |
      | small       | 1    | 78      |
      | small       | 2    | 78      |
      | grown       | 1    | 90      |
      | grown       | 2    | 90      |
      | grown_short | 1    | 85      |
      | grown_short | 2    | 85      |

  Scenario: should keep half of the needed capacity in service while hosts are replaced
    Given a grown fleet of engine hosts with seed 1
    When pairs of hosts are lost every 3 seconds and a domain is unreachable for 7 seconds
    And 6 hosts a second are replaced by empty ones until 44 percent have been
    Then over 34 seconds at least 52 percent of the capacity that both models need is in service
    And no group invariant was violated in the lossy fleet

  Scenario Outline: should never join a host of a serving <shape> group when announcements arrive up to <ms> ms late, seed <seed>
    Given a <shape> fleet of engine hosts with seed <seed>
    When the store shows announcements up to <ms> milliseconds late, in any order
    And pairs of hosts are lost every 3 seconds and a domain is unreachable for 7 seconds
    And the lossy fleet runs for 34 seconds
    Then no group invariant was violated in the lossy fleet

    Examples:
      | shape | seed | ms   |
      | small | 8    | 2500 |
      | small | 9    | 2500 |
      | small | 10   | 5000 |
      | grown | 1    | 5000 |

  Scenario: should never join a host of a serving group while several nodes lead
    Given a small fleet of engine hosts with seed 7
    When the store shows announcements up to 5000 milliseconds late, in any order
    And another node becomes a leader every 5 seconds, beside those before
    And pairs of hosts are lost every 3 seconds and a domain is unreachable for 7 seconds
    And the lossy fleet runs for 34 seconds
    Then no host was in two groups in the lossy fleet

  Scenario: should never join a host of a serving group when all hosts are listed again
    Given a small fleet of engine hosts with seed 6
    When the store shows announcements up to 2500 milliseconds late, in any order
    And all hosts are listed again every 700 milliseconds
    And pairs of hosts are lost every 3 seconds and a domain is unreachable for 7 seconds
    And the lossy fleet runs for 34 seconds
    Then no group invariant was violated in the lossy fleet

  Scenario: should request every host's state when another node becomes the leader
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When another node becomes the leader
    And a member of a group of "large" stops responding and is suspected
    And the fleet runs for 1500 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no group invariant was violated

  Scenario: should not join a host on what it reported in an earlier term
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When another node leads, and the spares start again under their ids and serve in a group
    And this node leads again, and reports are lost for 300 milliseconds
    And a member of a group of "small" stops responding and is suspected
    And the fleet runs for 3 seconds
    Then no group invariant was violated

  Scenario: should ask a host for a report when its announcement is contradicted
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the store shows a member of a group of "large" as free
    And the fleet runs for 400 milliseconds
    Then the member was asked for 1 report
    When the fleet runs for 30 seconds
    Then the member was asked for 5 to 25 reports
    And 2 groups of "large" and 2 groups of "small" serve

  Scenario: should repair groups while the store is unreachable
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the store becomes unreachable
    And a member of a group of "large" stops responding and is suspected
    And the fleet runs for 2500 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And the node's host registry shows them as open
    And no group invariant was violated

  Scenario: should not publish in an outage what it updated in an earlier one
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the store becomes unreachable
    And a member of a group of "large" stops responding and is suspected
    And the fleet runs for 2500 milliseconds
    Then the node's host registry shows them as open
    When the store becomes reachable again
    And the fleet runs for 5 seconds
    And the store becomes unreachable
    Then the node publishes no host state

  Scenario: should send no commands while another node is the leader
    Given 2 fabric domains of 9 engine hosts
    And another process holds the lease
    When the fleet runs for 25 seconds
    Then no command was sent

  Scenario: should form a cross-domain group until one domain has enough hosts
    Given hosts that can join "large" at once: 2 in domain "a", 2 in domain "b" of one zone
    When the layout is planned while there are too few groups of "large"
    Then one group across both domains is planned
    When one more host can join in domain "a" and 1 more in domain "a"
    Then the cross-domain group is dissolved to reclaim its hosts

  Scenario: should not start more loads than the weight store allows
    Given a limit of 4.5 loads a second over 5 seconds and 6 at once
    Then at most 6 loads start at once and at most 20 in any 5 seconds

  Scenario: should not replace a report by an older announcement
    Given a host that announced that it is free and reported later that its group is open
    Then it is treated as a member of the open group 5000 milliseconds later
    When another announcement says that it is free 600 milliseconds after the report
    Then it is treated as a member of the open group 5000 milliseconds later
    And another report is requested 1500 milliseconds after the report
    When it reports that it is free
    Then it is treated as free 5000 milliseconds later

  Scenario Outline: should abandon the join of a host in another group when the sender knows <known> of the host's commands
    Given a host that serves in a group of its own and is announced as free
    And <known> of its commands are known to the sender
    When it is sent a join command for another group
    Then the command is abandoned
    And the host keeps serving and violates no group invariant

    Examples:
      | known |
      | none  |
      | one   |

  Scenario Outline: should abandon the join of a serving host whose older announcement arrives <ms> milliseconds after it opened
    Given a host that the sender joined to a group of its own and opened
    When its announcement from before the join arrives <ms> milliseconds later
    And it is sent a join command for another group
    Then the command is abandoned
    And the host keeps serving and violates no group invariant

    Examples:
      | ms   |
      | 1600 |
      | 6000 |

  Scenario: should not treat a member as ready that has just been sent another join
    Given a host that was ready in a group and was sent another join for it
    Then it is treated as joining for 150 milliseconds, whatever it announced before
    And it is treated as joining until it reports that it is ready

  Scenario: should not record the reply to a command for another life of the host
    Given a host that reported 0 commands in life 1 and is free
    When it announces life 2, in which it is free
    And the reply to a join that was decided on its first report arrives
    Then it must report before any command
    When a report of 0 commands in life 2 arrives, in which it is free
    Then it is observed with 0 commands in life 2, free

  Scenario: should not record the reply to a command after a later report
    Given a host that reported 0 commands in life 1 and is free
    When a report of 3 commands in life 1 arrives, in which it is open
    And the reply to a join that was decided on its first report arrives
    Then it is observed with 3 commands in life 1, open

  Scenario Outline: should not replace an observation by a report of <seq> commands in life <life>
    Given a host that reported 2 commands in life 2 and is ready
    When a report of <seq> commands in life <life> arrives, in which it is free
    Then it is observed with 2 commands in life 2, ready

    Examples:
      | seq | life |
      | 1   | 1    |
      | 3   | 1    |
      | 1   | 2    |

  Scenario: should not replace an accepted join by a report whose group lags
    Given a host that reported 1 command in life 1 and is free
    When the reply to a join that was decided on its first report arrives
    And a report of 2 commands in life 1 arrives, in which it is free
    Then it is observed with 2 commands in life 1, joining

  Scenario: should require a report once a host announces another life
    Given a host that reported 2 commands in life 1 and is ready
    When it announces life 2, in which it is free
    Then it must report before any command

  Scenario: should ignore what a host announced in an earlier life
    Given a host that reported 1 command in life 2 and is joining
    When it announces life 1, in which it is ready
    Then it is observed with 1 command in life 2, joining
    And its announcement is not contradicted

  Scenario Outline: should take over an announced state only if it must be newer: <known> to <announced>
    Given a host that reported 1 command in life 1 and is <known>
    When it announces life 1, in which it is <announced>
    Then it is observed with 1 command in life 1, <state>
    And its announcement is <contradicted>

    Examples:
      | known   | announced | state   | contradicted     |
      | joining | ready     | ready   | not contradicted |
      | joining | open      | open    | not contradicted |
      | ready   | joining   | ready   | contradicted     |
      | ready   | open      | ready   | contradicted     |
      | closing | ready     | closing | contradicted     |
      | open    | broken    | open    | contradicted     |
      | free    | joining   | free    | contradicted     |

  Scenario: should take a group's model from the report that shows the group
    Given a host that announces the model "small"
    When it reports that it is ready in a group of "large"
    Then its group is taken for one of "large"
    When it leaves, and its join of a group of "small" is accepted
    Then its group is taken for one of "small"
    When it announces that it is ready in the group, with the model "small"
    Then its group is taken for one of "small"
