Feature: Decisions against naive versions

  Scenario: should order waiting requests as a naive choice one by one would
    Then the queue's order is that of the naive choice for any load

  Scenario: should forget strikes after their time though gateways tell each other
    Given two gateways that know a request with two strikes
    When they tell each other their news for 20 minutes
    Then neither refuses the request any more

  @promise-3
  Scenario: should never give out more slots than a cold upstream's budget
    Then no sequence of requests gives out more slots than the budget

  Scenario: should wake up once for periodic work that falls together
    Given periodic work each 50, 100 and 200 milliseconds, begun at different moments
    When 10 seconds go by
    Then the process woke up 198 to 201 times
    And the work each 50 milliseconds was called 200 times
    And the work each 100 milliseconds was called 100 times
    And the work each 200 milliseconds was called 50 times

  Scenario: should not wake up for periodic work that was cancelled
    Given periodic work each 50, 100 and 200 milliseconds, begun at different moments
    When the work of the shortest period is cancelled
    And 10 seconds go by
    Then the process woke up 98 to 103 times
    And the work each 50 milliseconds was called 0 times

  Scenario: should take no message of a peer in which a part is wrong
    Given a batch with every kind of news
    Then a batch in which any part is missing or of another type is not taken
