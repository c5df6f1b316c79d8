Feature: Decision logic

  A strike of a request is an upstream that crashed while the request was in
  flight. A batch is a message with the statuses of several nodes.

  Scenario: should order queued requests like a reference implementation
    Then the queue's order equals that of the reference implementation for any load

  Scenario: should expire strikes even when gateways exchange them
    Given two gateways that have recorded two strikes of a request
    When they exchange their strikes for 20 minutes
    Then neither refuses the request

  @promise-3
  Scenario: should never grant more slots than a cold upstream's budget
    Then no sequence of requests grants more slots than the budget

  Scenario: should wake up once for periodic work that is due at the same time
    Given periodic work every 50, 100 and 200 milliseconds, started at different times
    When 10 seconds elapse
    Then the process woke up 198 to 201 times
    And the work every 50 milliseconds was called 200 times
    And the work every 100 milliseconds was called 100 times
    And the work every 200 milliseconds was called 50 times

  Scenario: should not wake up for periodic work that was cancelled
    Given periodic work every 50, 100 and 200 milliseconds, started at different times
    When the work with the shortest period is cancelled
    And 10 seconds elapse
    Then the process woke up 98 to 103 times
    And the work every 50 milliseconds was called 0 times

  Scenario: should call other periodic work when one callback fails unexpectedly
    Given periodic work every 50 milliseconds that fails, and other work at the same times
    When 1 seconds elapse
    Then the other work was called 20 times, and 20 errors were reported

  Scenario Outline: should end the process after <errors>
    Given an error policy
    Then <errors> <verdict> the process

    Examples:
      | errors                               | verdict      |
      | "1 unexpected errors"                | does not end |
      | "20 unexpected errors at once"       | does not end |
      | "21 unexpected errors at once"       | ends         |
      | "60 unexpected errors in 10 minutes" | does not end |
      | "1 broken invariants"                | ends         |

  Scenario: should share the most recent strikes when there are too many for a message
    Given a gateway that has recorded strikes of 40 requests, one every second
    Then the 16 that it shares are the most recent ones

  Scenario: should send a message that peers accept when a request has many strikes
    Given a status with a request that was in flight at 12 crashes
    Then its peers accept the message, with 8 of the crashes

  Scenario: should reject a peer's message that has an invalid field
    Given a batch with every kind of status field
    Then a batch with any field missing or of another type is rejected
    And one without the fields of later versions is read as empty in these
