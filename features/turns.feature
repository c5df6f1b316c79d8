@turns
Feature: Whose turn it is in a node's queue, and when a refused caller returns

  The loads last 8 seconds at half of what the groups serve, with a burst from
  second 2 to 5. Callers honour the delay that they are told, up to a third of the
  time that they have left, and return once.

  Scenario Outline: should serve others beside <load>
    When <load> is played
    Then of the requests of <others> in the burst at least <served> percent are served and <in time> in time
    And of all requests at least <all> percent are served

    Examples:
      | load                                       | others             | served | in time | all |
      | "a burst of which one customer sends 80 %" | "other customers"  | 85     | 60      | 70  |
      | "a hot key"                                | "other customers"  | 90     | 65      | 65  |
      | "callers that repeat at once"              | "patient callers"  | 90     | 60      | 95  |
      | "a mix of sizes"                           | "the largest tenth" | 36    | 18      | 70  |
      | "two priorities"                           | "priority 0"       | 97     | 80      | 94  |
      | "two priorities"                           | "priority 1"       | 88     | 57      | 94  |
      | "a steady load with short peaks"           | "all callers"      | 99     | 97      | 99  |

  Scenario Outline: should serve others beside a large customer on <nodes> nodes
    When "a burst of which one customer sends 80 %" is played on <nodes> nodes that share 14 groups and report their loads every 100 milliseconds
    Then of the requests of "other customers" in the burst at least <served> percent are served and <in time> in time

    Examples:
      | nodes | served | in time |
      | 5     | 78     | 30      |
      | 36    | 68     | 12      |

  Scenario: should serve the largest requests at least half as often as all
    When "a mix of sizes" is played
    Then the largest tenth and the fifth below it are served at least half as often as all

  Scenario: should not let callers that repeat at once get ahead by it
    When "callers that repeat at once" is played
    Then those that repeat at once are not in time more often by 10 percent than the others

  Scenario: should tell callers that are refused together different times
    When "many refused within 10 milliseconds" is played
    Then of 100 refused callers no 2 are told the same time, and none more than a third of its time left

  Scenario: should serve callers that were refused together when they return
    When "many refused within 10 milliseconds" is played
    Then of the requests of "the crowd" in the burst at least 20 percent are served and 0 in time

  Scenario: should give turns to customers by the engine time that they were given
    Given a queue without room
    And 300 ms of engine time were given to "a"
    When requests of customers "a, b, b, b, b, c" are queued
    And room is found
    Then they are sent in the order "b1, b2, c1, a1, b3, b4"

  Scenario: should give a customer's turns by the goal
    Given a queue without room
    When "late" with a goal of 400 ms and then "soon" with a goal of 200 ms are queued
    And room is found
    Then they are sent in the order "soon, late"

  Scenario: should put requests that can't meet their goal behind those that can
    Given a queue without room
    When "missed" with a goal of 5 ms and then "able" with a goal of 200 ms are queued
    And room is found
    Then they are sent in the order "able, missed"

  Scenario: should put a response that has begun first
    Given a queue without room
    When "able" with a goal of 200 ms and then "begun" with a response in progress are queued
    And room is found
    Then they are sent in the order "begun, able"

  Scenario: should drop a request of the customer that has most in the queue
    Given a queue without room
    When 2 requests of "small" and 510 of "large" are queued
    And a request of "newcomer" is queued
    Then 1 request of "large" is refused and no other

  Scenario: should drop a request of the lowest priority
    Given a queue without room
    When 512 requests of "large" and 0 of "small" are queued
    And a request of "newcomer" with a lower priority is queued
    Then 1 request of "newcomer" is refused and no other

  Scenario: should not let small requests overtake a large one that has waited for long
    Given a queue with room for small requests only
    When a large request has waited for 30 of its 50 milliseconds
    And a small request arrives
    Then the small request waits, and is sent when it is overdue

  Scenario: should let small requests overtake a large one that has just come
    Given a queue with room for small requests only
    When a large request has waited for 10 of its 50 milliseconds
    And a small request arrives
    Then the small request is sent at once

  Scenario: should let small requests overtake one that no idle group could serve in time
    Given a queue with room for small requests only
    When a request that is too large has waited for 30 of its 50 milliseconds
    And a small request arrives
    Then the small request is sent at once

  Scenario: should not let a destination wait for another one
    Given a queue without room
    When 500 requests of all sizes for "large" are queued
    And room is found for "small" and a request for it arrives
    Then it is sent after 1 look for room

  Scenario: should look for room for few of many queued requests
    Given a queue without room
    When 500 requests of all sizes for "large" are queued
    And the queue is dispatched
    Then a dispatch looks for room at most 16 times

  Scenario: should place a caller that returns when it was told ahead of newcomers
    Given a queue without room
    When "caller" is refused and returns 0 milliseconds after it was told
    And "newcomer" arrived before it
    And room is found
    Then they are sent in the order "caller, newcomer"
    And 1 returned caller was placed and 0 were refused

  Scenario Outline: should give no place to a caller that returns <when>
    Given a queue without room
    When "caller" is refused and returns <ms> milliseconds after it was told
    And "newcomer" arrived before it
    And room is found
    Then they are sent in the order "newcomer, caller"
    And 0 returned caller was placed and 0 were refused

    Examples:
      | when          | ms  |
      | early         | -60 |
      | much too late | 600 |

  Scenario: should give a returned caller's place once
    Given a queue without room
    When "caller" is refused and returns 0 milliseconds after it was told
    And "copy" of the same request follows, after "newcomer"
    And room is found
    Then they are sent in the order "caller, newcomer, copy"

  Scenario: should count a returned caller that is refused again
    Given a queue without room
    When "caller" is refused and returns 0 milliseconds after it was told
    And it is refused again
    Then 0 returned caller was placed and 1 were refused

  Scenario Outline: should never hand out more than the room on <nodes> nodes
    Given <nodes> nodes that share 14 groups
    When each refuses 40 callers within 10 milliseconds
    Then until any time at most a tenth of the room is handed out
    And callers without a slot are told to return in the last tenth of the time that they can use

    Examples:
      | nodes |
      | 5     |
      | 36    |
      | 65    |
      | 300   |

  Scenario Outline: should not hand out more than the room in any window on <nodes> nodes
    Given <nodes> nodes that share 14 groups
    When they refuse callers with requests of all sizes for 10 seconds
    Then in any second at most a tenth of the room, and one request a node, is handed out

    Examples:
      | nodes |
      | 5     |
      | 36    |
      | 65    |
      | 300   |

  Scenario: should not hand out the slots of a node that is lost
    Given 36 nodes that share 14 groups
    When each refuses 40 callers within 10 milliseconds
    And 1 node is lost and the others refuse 40 callers each
    Then until any time at most a tenth of the room, and one request a node, is handed out
    And another node takes the lost node's callers as newcomers

  Scenario: should keep handing out times while no group is open
    Given 5 nodes that share 14 groups
    When each refuses 40 callers within 10 milliseconds
    And no group is open and the others refuse 40 callers each
    Then until any time at most a tenth of the room, and one request a node, is handed out

  Scenario: should bound what it remembers, and forget it
    When 10000 callers of 10000 customers are refused at 1000 destinations
    Then at most 4096 callers, 64 destinations and 2048 customers are remembered
    And after 25 seconds nothing is

  Scenario: should not remember destinations that never had room
    When 100 callers are refused at destinations that have no groups
    Then no destination is remembered

  Scenario: should report the delays and the queue in log events and metrics
    Given a relay with 2 replica groups of "small"
    When 100 streams are requested at once, and a refused caller returns when it was told
    Then each refused request is logged with the delay that its caller was told
    And the queue's length was reported by priority
    And the caller that returned is counted as placed
