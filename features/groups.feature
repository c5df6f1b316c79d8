@groups
Feature: Replica groups on engine hosts

  Scenario: should form groups of both models and open them only when every member is ready
    Given 2 fabric domains of 9 engine hosts
    When the fleet runs for 25 seconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no rule of groups was broken

  Scenario: should not open a group while one of its members is still loading
    Given 2 fabric domains of 9 engine hosts
    And two hosts of each domain take 2 seconds longer to join
    When the fleet runs for 28 seconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no rule of groups was broken

  Scenario: should serve again within a second and a half of losing a member
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When a member of a group of "large" goes dark and is doubted
    And the fleet runs for 1500 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no rule of groups was broken

  Scenario: should free the members of a dead head without waiting for the store
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the head of a group of "large" goes dark and is doubted
    And the fleet runs for 1500 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no rule of groups was broken

  Scenario: should never join members of a group whose head is only cut off
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the head of a group of "large" is cut off and is doubted
    And the fleet runs for 5 seconds
    And the head is back
    And the fleet runs for 5 seconds
    Then no rule of groups was broken

  Scenario Outline: should keep its count of commands when <lost> answers are lost
    Given 2 fabric domains of 9 engine hosts
    And the next <lost> answers of every host are lost
    When the fleet runs for 40 seconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no rule of groups was broken

    Examples:
      | lost |
      | 1    |
      | 2    |

  Scenario: should replace a leaving member
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When a member of a group of "small" announces that it leaves
    And the fleet runs for 4 seconds
    Then 2 groups of "large" and 2 groups of "small" serve without the leaving host
    And no rule of groups was broken

  Scenario: should replace members that leave one after the other at once
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When two members of a group of "large" announce 800 milliseconds apart that they leave
    And the fleet runs for 700 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    When the fleet runs for 20 seconds
    Then no group serves with a host that leaves
    And one group was ended
    And no rule of groups was broken

  Scenario: should end a group at once when its head leaves
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the head of a group of "large" announces that it leaves
    And the fleet runs for 200 milliseconds
    Then 1 groups of "large" and 2 groups of "small" serve

  Scenario Outline: should keep both models in service while a <shape> fleet loses hosts
    Given a <shape> fleet of engine hosts by seed <seed>
    When pairs of hosts are lost each 3 seconds and a domain is dark for 7 seconds
    Then over 34 seconds <percent> percent of what both models need is in service
    And no rule of groups was broken in that fleet

    Examples:
      | shape       | seed | percent |
      | small       | 1    | 78      |
      | small       | 2    | 78      |
      | grown       | 1    | 90      |
      | grown       | 2    | 90      |
      | grown_short | 1    | 85      |
      | grown_short | 2    | 85      |

  Scenario: should keep half of the large model in service while hosts are replaced
    Given a grown fleet of engine hosts by seed 1
    When pairs of hosts are lost each 3 seconds and a domain is dark for 7 seconds
    And 6 hosts a second are replaced by empty ones until 44 percent are
    Then over 34 seconds 52 percent of what both models need is in service
    And no rule of groups was broken in that fleet

  Scenario: should learn every host's state before it acts for another
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When another node acts from now on
    And a member of a group of "large" goes dark and is doubted
    And the fleet runs for 1500 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And no rule of groups was broken

  Scenario: should repair groups while the store tells nothing
    Given 2 fabric domains of 9 engine hosts
    And the fleet runs for 25 seconds
    When the store is lost
    And a member of a group of "large" goes dark and is doubted
    And the fleet runs for 2500 milliseconds
    Then 2 groups of "large" and 2 groups of "small" serve
    And the node knows them as open
    And no rule of groups was broken

  Scenario: should do nothing while another node acts
    Given 2 fabric domains of 9 engine hosts
    And another process holds the lease
    When the fleet runs for 25 seconds
    Then no host got a command

  Scenario: should join what is left of two domains of a zone until one is whole
    Given hosts that can join "large" at once: 2 in domain "a", 2 in domain "b" of one zone
    When the layout is planned while "large" is short
    Then one group over both domains is formed
    When one more host each can join in domain "a" and 1 more in domain "a"
    Then the slow group gives its hosts back

  Scenario: should not begin more loads than the weight store allows
    Given a ceiling of 4.5 loads a second over 5 seconds and 6 at once
    Then at most 6 loads begin at once and at most 20 in any 5 seconds

  Scenario: should not fall back on an announcement that is older than a report
    Given a host that announced that it is free and reported later that its group is open
    Then it counts as a member of the open group 5000 milliseconds later
    When another announcement says that it is free 600 milliseconds after the report
    Then it counts as free 5000 milliseconds later

  Scenario Outline: should not tell a host to join that turns out to serve in <group>
    Given a host that serves in a group of its own and is announced as free
    And <known> of its commands are known
    When it is told to join another group
    Then the command is given up
    And the host serves on and no rule was broken

    Examples:
      | group              | known |
      | a group            | none  |
      | a group after all  | one   |

  Scenario: should not take a member for ready that has just been told to join again
    Given a host that was ready in a group and was told to join it again
    Then it counts as joining for 150 milliseconds, whatever it announced before
    And it counts as ready when it still announces so later
