@soak
Feature: Verdict of the soak

  Scenario Outline: should hold refusals against a fleet only while its store is well
    Given a run of 100 requests, of which <answered> are answered
    And the store was <store>
    Then the soak finds <problem>

    Examples:
      | answered | store  | problem                      |
      | 61       | well   | nothing                      |
      | 59       | well   | "servable: only 59% answered" |
      | 16       | silent | nothing                      |
      | 4        | silent | "all: only 4% answered"      |
