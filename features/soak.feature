@soak
Feature: Promise checker and plans of the soak

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

  Scenario Outline: should keep the faults that a seed plans
    Then a default plan of 15 seconds with seed <seed> has the faults "<kinds>"

    Examples:
      | seed  | kinds                                                                                                                      |
      | 35    | host_dark host_dark host_dark freeze store_refuse store_refuse store_one_way                                               |
      | 44    | revoke_in_silence revoke_in_silence host_dark host_dark freeze store_delay revoke_in_silence                               |
      | 71915 | store_delay revoke_in_silence host_dark freeze store_delay store_reset lose_answer store_refuse revoke_in_silence kill |

  Scenario Outline: should plan the same faults on groups for the same seed
    Then two plans of "<list>" faults with seed 7 are equal and have faults on groups

    Examples:
      | list      |
      | groups    |
      | reordered |
