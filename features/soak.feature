@soak
Feature: Promise checker of the soak

  # Guards against a soak that passes because no node came up.
  Scenario: should find that no request was sent
    Given a soak of 0 requests, of which 0 succeed
    Then the soak finds "no request was sent"

  Scenario Outline: should require fewer requests to succeed while the store is silent
    Given a soak of 100 requests, of which <succeeded> succeed
    And the store was <store>
    Then the soak finds <problem>

    Examples:
      | succeeded | store   | problem                                 |
      | 61        | healthy | nothing                                 |
      | 59        | healthy | "servable requests: only 59% succeeded" |
      | 16        | silent  | nothing                                 |
      | 4         | silent  | "all requests: only 4% succeeded"       |
