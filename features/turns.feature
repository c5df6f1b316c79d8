@turns
Feature: Whose turn it is in a node's queue

  The loads last 8 seconds at half of what the groups serve, with a burst from
  second 2 to 5. Callers honour the delay that they are told, up to a third of the
  time that they have left, and return once.

  Scenario Outline: should serve others beside <load>
    When <load> is played
    Then of the requests of <others> in the burst at least <served> percent are served and <in time> in time

    Examples:
      | load                                       | others              | served | in time |
      | "a burst of which one customer sends 80 %" | "other customers"   | 80     | 58      |
      | "a hot key"                                | "other customers"   | 84     | 66      |
      | "a mix of sizes"                           | "the largest tenth" | 20     | 13      |

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
