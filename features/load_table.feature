@load-table
Feature: Table of loads

  Loads are played in virtual time against the relay and an oracle.

  Scenario: should give the same results for the same seed
    When the load calm is played for 4 seconds
    Then playing it again with the same seed gives equal results
    And playing it again with another seed gives other results

  Scenario Outline: should count each request of <load> once
    When the load <load> is played for 10 seconds
    Then each offered request has one result
    And the shares in time, late, refused and failed add up to one
    And the oracle's share in time is at least the relay's

    Examples:
      | load            |
      | urgent-burst    |
      | repeat-at-once  |
      | leaving-callers |
      | half-lost       |
      | nodes-ended     |
