@streams
Feature: Streams that upstreams spoil

  A response that ends as complete holds each event once, in order. The first group
  is the one that gets the first attempt.

  Scenario: should log and count why a stream can't be forwarded any further
    Given a relay with 2 replica groups of "small"
    And the first group sends "id: 90" in place of "id: 5", 1 event a write
    When a stream of 10 events is requested
    Then the attempt's end is logged with "gap: id 90 after 4"
    And 1 stream fault of the kind "gap" is counted
