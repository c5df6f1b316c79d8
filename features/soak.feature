@soak
Feature: Checker of the soak

  Scenario Outline: should require fewer requests to succeed while the store is silent
    Given a soak of 100 requests, of which <succeeded> succeed
    And the store was <store>
    Then the soak finds <problem>

    Examples:
      | succeeded | store  | problem                        |
      | 61        | well   | nothing                        |
      | 59        | well   | "servable: only 59% succeeded" |
      | 16        | silent | nothing                        |
      | 4         | silent | "all: only 4% succeeded"       |
