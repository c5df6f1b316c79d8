@outlook
Feature: Forecasting the first event of a request

  An engine's configuration doesn't name all of the time to a first event. What it
  leaves out is learnt from the requests of this node and of its peers.

  Scenario Outline: should learn what the configuration leaves out, under <load>
    Given an outlook of 6 replicas of "small"
    When 40 requests take <constant> milliseconds longer than computed, and <share> in 100 of them 400 more
    Then a forecast is between <lowest> and <highest> milliseconds above the computed time

    Examples:
      | load                     | constant | share | lowest | highest |
      | a fleet without a queue  | 93       | 0     | 90     | 96      |
      | a burst                  | 93       | 40    | 90     | 96      |
      | an engine as configured  | 0        | 0     | 0      | 3       |

  Scenario: should forecast the first event after a single request
    Given an outlook of 6 replicas of "small"
    When 1 request takes 93 milliseconds longer than computed, and 0 in 100 of them 400 more
    Then a forecast is between 90 and 96 milliseconds above the computed time

  Scenario: should not take what all replicas have in common for a slow replica
    Given an outlook of 6 replicas of "small"
    When 60 requests take 93 milliseconds longer than computed, and 0 in 100 of them 400 more
    Then each replica counts as at most 1.1 times slower than expected

  Scenario: should tell a slow replica from its model
    Given an outlook of 6 replicas of "small"
    And replica 2 is 3 times slower than the others
    When 60 requests take 93 milliseconds longer than computed, and 0 in 100 of them 400 more
    Then replica 2 counts as at least 1.8 times slower than expected
    And the other replicas count as at most 1.1 times slower than expected

  Scenario: should start with the median of what peers have learnt
    Given an outlook of 6 replicas of "small"
    And peers have learnt 90, 95, 100, 1000000 and -7 milliseconds for "small"
    Then a forecast is between 95 and 95 milliseconds above the computed time
    When 4 seconds pass without a status
    Then a forecast is between 0 and 0 milliseconds above the computed time

  Scenario: should prefer its own samples to what peers have learnt
    Given an outlook of 6 replicas of "small"
    And peers have learnt 400, 400 and 400 milliseconds for "small"
    When 20 requests take 93 milliseconds longer than computed, and 0 in 100 of them 400 more
    Then a forecast is between 90 and 96 milliseconds above the computed time

  Scenario: should forecast less again when no request is sent any more
    Given an outlook of 6 replicas of "small"
    When 40 requests take 400 milliseconds longer than computed, and 0 in 100 of them 400 more
    And 4 seconds pass without a status
    Then a forecast is between 0 and 110 milliseconds above the computed time

  Scenario: should forget samples that are too old
    Given an outlook of 6 replicas of "small"
    When 40 requests take 93 milliseconds longer than computed, and 0 in 100 of them 400 more
    And 35 seconds pass without a status
    Then a forecast is between 0 and 0 milliseconds above the computed time

  Scenario: should keep a bounded number of models and peers
    Given an outlook of 6 replicas of "small"
    When 400 peers each send estimates of 500 models
    And 500 models have 12 requests each
    Then it shares at most 32 estimates
    And it uses at most 32 peers
    And it learns another model once the others have had no requests for 11 seconds

  Scenario: should still place requests after a second in which all replicas were late
    Given an outlook of 6 replicas of "small"
    When 40 requests take 93 milliseconds longer than computed, and 0 in 100 of them 400 more
    And all replicas answer 3 times 1000 milliseconds late within a second
    Then a replica's first event is forecast within 150 milliseconds

  Scenario: should not forget the constant time when a few responses come sooner
    Given an outlook of 6 replicas of "small"
    When 40 requests take 93 milliseconds longer than computed, and 0 in 100 of them 400 more
    And 2 of 9 responses come 30 milliseconds sooner than computed
    Then a forecast is between 90 and 96 milliseconds above the computed time

  Scenario: should place requests where no stream gets a gap over the limit
    Given a placer before a cross-domain group that is idle and others that are busy
    When a request for a stream with a gap limit of 100 milliseconds is placed
    Then it is placed on a group in one domain
    When a request for a stream with a gap limit of 1 millisecond is placed
    Then it is placed on some group
