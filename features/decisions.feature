Feature: Decisions against naive versions

  Scenario: should order waiting requests as a naive choice one by one would
    Then the queue's order is that of the naive choice for any load

  @promise-3
  Scenario: should never give out more slots than a cold upstream's budget
    Then no sequence of requests gives out more slots than the budget
