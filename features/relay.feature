@relay
Feature: Relaying requests under their route's contract

  A route's contract is its retry rules and its timeout. The first group or host
  is the one that gets the first attempt.

  Scenario: should forward a stream event by event
    Given a relay with 2 replica groups of "small"
    When a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 1 attempt

  Scenario: should continue a stream on another group, in the same response, when a group stalls
    Given a relay with 2 replica groups of "small"
    And the first group stalls after 4 events
    When a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 2 attempts
    And the response head is the first group's

  Scenario: should not take a group as stalled while the event loop is behind
    Given a relay with 2 replica groups of "small"
    And every group pauses for 600 milliseconds after its first 4 events
    When a stream of 10 events is requested while the event loop is 400 milliseconds behind
    Then the caller has events 1 to 10 and a complete response after 1 attempt

  Scenario: should continue a stream on another group when a connection is reset within an event
    Given a relay with 2 replica groups of "small"
    And the first group resets the connection within event 5
    When a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 2 attempts

  Scenario: should keep using a group while a member other than its head is leaving
    Given a relay with 1 replica group of "small"
    When host "i-0-1" announces that it is leaving
    And a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 1 attempt

  Scenario: should keep using a group while a member that is no longer announced works
    Given a relay with 1 replica group of "small"
    And a stream of 40 events is in progress
    When host "i-0-1" is no longer announced
    And a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 1 attempt

  Scenario Outline: should not send to a group when <what> is no longer announced
    Given a relay with 1 replica group of "small"
    And a stream of <events> events is in progress
    When host "<host>" is no longer announced
    And <pause> milliseconds pass
    And a stream of 10 events is requested
    Then the caller gets "no_replica"

    Examples:
      | what                                      | host  | events | pause |
      | its head                                  | i-0-0 | 40     | 0     |
      | a member, and its streams bring no events | i-0-1 | 1      | 800   |

  Scenario: should not send to a group whose head is leaving
    Given a relay with 1 replica group of "small"
    When host "i-0-0" announces that it is leaving
    And a stream of 10 events is requested
    Then the caller gets "no_replica" after 0 attempts

  Scenario: should use few groups while they are not busy
    Given a relay with 12 replica groups of "small"
    When 40 streams are requested, one every 400 milliseconds
    Then they are sent to at most 3 groups

  Scenario: should spread many requests over all groups
    Given a relay with 12 replica groups of "small"
    When 60 streams are requested, one every 2 milliseconds
    Then they are sent to at least 9 groups, at most 10 to each

  Scenario: should abort a broken stream that is not resumable
    Given a relay with 2 replica groups of "small"
    And the first group resets the connection within event 5
    When a stream of 10 events that is not resumable is requested
    Then the response is aborted after 4 events and 1 attempt

  Scenario: should never retry an order that may have run
    Given a relay with 2 hosts of the counter service
    And the first host resets the connection before it responds
    When an order is placed
    Then the caller gets "upstream_failed" after 1 attempt

  Scenario: should retry an order that a host guarantees not to have run
    Given a relay with 2 hosts of the counter service
    And the first host refuses the request as not run
    When an order is placed
    Then the caller has a complete response with status 200 after 2 attempts

  Scenario: should report an order as not run when the only host refused it as not run
    Given a relay with 1 host of the counter service
    And the first host refuses the request as not run
    When an order is placed
    Then the caller gets "no_replica" after 1 attempt

  Scenario: should forward an upstream's error response to an order
    Given a relay with 2 hosts of the counter service
    And the first host responds with status 500
    When an order is placed
    Then the caller has a complete response with status 500 after 1 attempt

  Scenario: should not forward a status that implies not run without the host's guarantee
    Given a relay with 2 hosts of the counter service
    And the first host responds with status 503
    When an order is placed
    Then the caller gets "upstream_failed" after 1 attempt

  Scenario: should retry a repeatable request on another host when it fails
    Given a relay with 2 hosts of the counter service
    And the first host responds with status 500
    When an order is looked up
    Then the caller has a complete response with status 200 after 2 attempts

  Scenario: should not run a request on more hosts than its route allows when their announcements are removed
    Given a relay with 4 hosts of the counter service
    And every host responds with status 500
    When an order is looked up, and each host that receives it leaves the list
    Then the host list has lost 2 hosts after 2 attempts

  Scenario: should respond at the route's timeout whatever the upstream does
    Given a relay with 2 hosts of the counter service
    And no host responds
    When an order is placed
    Then the caller gets "timed_out" after 800 milliseconds

  Scenario: should refuse a request at once, with a retry delay, when no group can serve it
    Given a relay with 0 replica groups of "small"
    When a stream of 10 events is requested
    Then the caller gets "no_replica" within 50 milliseconds, with a retry delay

  Scenario: should refuse some requests under overload instead of delaying all responses
    Given a relay with 2 replica groups of "small"
    When 150 streams are requested within a second
    Then some are refused as "overloaded"
    And at least 95 percent of those sent have their first event within the goal

  Scenario: should cancel the attempt when the caller disconnects
    Given a relay with 2 replica groups of "small"
    When a stream of 10 events is requested and its caller disconnects after 3 events
    Then no group still runs it

  Scenario Outline: should check keys before anything is sent
    Given a relay with 2 replica groups of "small"
    When a stream is requested with the key <key>
    Then the caller gets <outcome> and nothing was sent

    Examples:
      | key       | outcome       |
      | "unknown" | "unknown_key" |
      | ""        | "unknown_key" |

  Scenario: should not trust keys when the catalog's confirmation is too old
    Given a relay with 2 replica groups of "small"
    And the catalog was last confirmed 5 seconds ago
    When a stream of 10 events is requested
    Then the caller gets "unconfirmed" and nothing was sent

  Scenario: should accept a peer's confirmation of the catalog
    Given a relay with 2 replica groups of "small"
    And the catalog was last confirmed 5 seconds ago
    And a peer confirmed the same version 1 second ago
    When a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 1 attempt

  Scenario: should count the time that a host was suspended as part of a confirmation's age
    Given a confirmation recorded now
    When the monotonic clock stops while the wall clock advances 6 seconds
    Then the confirmation is 6 seconds old
    When the wall clock is set back 10 seconds
    Then the confirmation is 0 seconds old by the monotonic clock

  Scenario: should never replace a catalog with an older one
    Given a catalog holder with version 7
    When version 6 is received
    Then version 7 is in force
    When version 9 is received
    Then version 9 is in force

  Scenario: should choose the route with the longest prefix
    Given routes with the prefixes "/a/", "/a/b/" and "/"
    Then "/a/b/c" is routed to "/a/b/", "/a/x" to "/a/", "/z" to "/" and "/a/b" to "/a/"

  Scenario: should keep retries within the budget of the whole fleet
    Given 5 processes that share a budget of 0.2 retries per request and 136 more in 10 seconds
    When each has 400 requests in 10 seconds that all need a retry
    Then at most 536 retries are sent in any 10 seconds

  Scenario Outline: should keep the whole fleet within the rate limit of a cold host
    Given <processes> processes that each send as many requests as allowed to a cold host with a limit of <limit> per second
    Then the host gets at most <max> requests in any second

    Examples:
      | processes | limit | max  |
      | 5         | 36    | 59   |
      | 34        | 17    | 30   |
      | 1         | 36    | 59   |

  Scenario Outline: should forward each event once, in order, whatever the chunk boundaries are
    Given events 1 to 9 of two overlapping attempts, in chunks of <size> bytes
    Then the spliced stream contains events 1 to 9 exactly once

    Examples:
      | size |
      | 1    |
      | 5    |
      | 64   |
      | 4096 |

  Scenario: should reject a stream with a missing event
    Given events 1 to 3 followed by event 5
    Then the spliced stream is rejected

  Scenario: should keep hosts with lapsed announcements for a while after an outage
    Given a host that is missing from the host list after an outage
    Then it is kept for 1800 milliseconds and then dropped

  Scenario: should count the log lines that are dropped when the reader is slow
    Given a log buffer with a slow reader
    When 10000 long lines are written at once
    Then memory stays bounded and the number of dropped lines is logged

  Scenario Outline: should <action> a host that is missing after a store outage of <seconds> seconds
    Given the fleet state of a store that lists a host
    When the store is unavailable for <seconds> seconds and the host leaves meanwhile
    Then the host is <result> half a second after the store recovers, and dropped within 3 seconds

    Examples:
      | action       | seconds | result  |
      | drop at once | 1       | dropped |
      | keep         | 5       | kept    |

  Scenario: should drop at once a host that leaves a second after the store recovers
    Given the fleet state of a store that lists a host
    When the store is unavailable for 5 seconds, and the host leaves 1 second after it recovers
    Then the host is dropped half a second later

  Scenario: should keep the last allowed attempt when its group is suspected
    Given a relay with 2 replica groups of "small"
    And every group pauses for 700 milliseconds after its first 2 events
    When a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 2 attempts

  Scenario: should refuse a request after three upstreams crashed as it began to run
    Given a relay with 6 replica groups of "small"
    And a request that crashes every group as it begins to run
    When it is sent repeatedly along with other requests
    Then at most 3 groups crash and it is refused as "crashes_upstreams"
    And no other request is refused as a suspect

  # Guards against a request that goes on crashing the few hosts of a service,
  # as a host that starts again under its id was not counted twice.
  Scenario Outline: should refuse a request after three crashes of hosts that start again under their ids
    Given a relay with <hosts> plain hosts that start again after a crash
    And a request that crashes every host as it begins to run
    When the call is sent 12 times, 3000 milliseconds apart
    Then at most 3 hosts crash and it is refused as "crashes_upstreams"

    Examples:
      | hosts |
      | 1     |
      | 2     |
      | 4     |

  Scenario: should not suspect a request when a single connection is reset
    Given a relay with 2 replica groups of "small"
    And the first group resets the connection within event 1
    When a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 2 attempts
    And no request is refused as a suspect

  Scenario: should track demand only for models that exist
    Given a relay with 1 replica group of "small"
    When 1000 streams of unknown models are requested
    Then the demand contains only "small"

  Scenario: should report the lifecycle of a request in log events and metrics
    Given a relay with 2 replica groups of "small"
    And the first group resets the connection within event 5
    When a stream of 10 events is requested
    Then its log events are "request_sent, request_attempt_ended, request_sent, request_ended"
    And the metrics count 1 request as "answered", 1 attempt as "reset" and 1 first byte

  Scenario Outline: should not treat messages as fresh that were queued while the process was <state>
    Given a process with a pause detector
    When it is <state> for 4 seconds and then reads its messages <order> its timers run
    Then the messages are not treated as fresh
    And messages are treated as fresh again a second later

    Examples:
      | state     | order  |
      | stopped   | before |
      | stopped   | after  |
      | suspended | before |
      | suspended | after  |
