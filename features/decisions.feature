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
