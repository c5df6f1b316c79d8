@relay
Feature: Relaying requests under their route's contract

  Scenario: should pass a stream on, event by event
    Given a relay before 2 groups of "small"
    When a stream of 10 events is asked for
    Then the caller has events 1 to 10 and a whole answer after 1 send

  Scenario: should go on elsewhere in the same answer when a group falls silent
    Given a relay before 2 groups of "small"
    And the first group falls silent after 4 events
    When a stream of 10 events is asked for
    Then the caller has events 1 to 10 and a whole answer after 2 sends
    And the head is the first group's

  Scenario: should go on elsewhere when a group is reset in the middle of an event
    Given a relay before 2 groups of "small"
    And the first group is reset within event 5
    When a stream of 10 events is asked for
    Then the caller has events 1 to 10 and a whole answer after 2 sends

  Scenario: should send to a group on while a member other than its head is leaving
    Given a relay before 1 groups of "small"
    When host "i-0-1" announces that it leaves
    And a stream of 10 events is asked for
    Then the caller has events 1 to 10 and a whole answer after 1 send

  Scenario: should not send to a group whose head is leaving
    Given a relay before 1 groups of "small"
    When host "i-0-0" announces that it leaves
    And a stream of 10 events is asked for
    Then the caller gets "no_replica" after 0 sends

  Scenario: should stay with few groups while they are not busy
    Given a relay before 12 groups of "small"
    When 40 streams are asked for, one each 400 milliseconds
    Then they went to at most 3 groups

  Scenario: should spread many requests over all groups
    Given a relay before 12 groups of "small"
    When 60 streams are asked for, one each 2 milliseconds
    Then they went to at least 9 groups and none had more than 10

  Scenario: should cut a stream that may not be resumed
    Given a relay before 2 groups of "small"
    And the first group is reset within event 5
    When a stream of 10 events that may not be resumed is asked for
    Then the answer is cut after 4 events and 1 send

  Scenario: should never send an order again that may have run
    Given a relay before 2 hosts of the counter service
    And the first host is reset before it answers
    When an order is placed
    Then the caller gets "upstream_failed" after 1 send

  Scenario: should send an order again that a host promises not to have run
    Given a relay before 2 hosts of the counter service
    And the first host refuses as not run
    When an order is placed
    Then the caller has a whole answer with status 200 after 2 sends

  Scenario: should say that an order did not run only when that is true
    Given a relay before 1 hosts of the counter service
    And the first host refuses as not run
    When an order is placed
    Then the caller gets "no_replica" after 1 send

  Scenario: should pass on an upstream's own failure of an order
    Given a relay before 2 hosts of the counter service
    And the first host answers with status 500
    When an order is placed
    Then the caller has a whole answer with status 500 after 1 send

  Scenario: should not pass on a promise that a host has not given
    Given a relay before 2 hosts of the counter service
    And the first host answers with status 503
    When an order is placed
    Then the caller gets "upstream_failed" after 1 send

  Scenario: should ask another host when a repeatable call fails
    Given a relay before 2 hosts of the counter service
    And the first host answers with status 500
    When an order is looked up
    Then the caller has a whole answer with status 200 after 2 sends

  Scenario: should answer at the route's time whatever the upstream does
    Given a relay before 2 hosts of the counter service
    And every host is silent
    When an order is placed
    Then the caller gets "timed_out" after 800 milliseconds

  Scenario: should refuse at once what no group can serve, and say when to come back
    Given a relay before 0 groups of "small"
    When a stream of 10 events is asked for
    Then the caller gets "no_replica" within 50 milliseconds, with a time to come back

  Scenario: should refuse under overload rather than make all answers late
    Given a relay before 2 groups of "small"
    When 150 streams are asked for within a second
    Then some are refused as "overloaded"
    And 95 in 100 of those sent have their first event within the goal

  Scenario: should cancel the upstream when the caller has gone
    Given a relay before 2 groups of "small"
    When a stream of 10 events is asked for and its caller leaves after 3 events
    Then no group works on it any more

  Scenario Outline: should check keys before anything is sent
    Given a relay before 2 groups of "small"
    When a stream is asked for with the key <key>
    Then the caller gets <outcome> and nothing was sent

    Examples:
      | key       | outcome       |
      | "unknown" | "unknown_key" |
      | ""        | "unknown_key" |

  Scenario: should not trust keys that nobody has confirmed for too long
    Given a relay before 2 groups of "small"
    And the catalog was last confirmed 5 seconds ago
    When a stream of 10 events is asked for
    Then the caller gets "unconfirmed" and nothing was sent

  Scenario: should hear from a peer that the catalog still holds
    Given a relay before 2 groups of "small"
    And the catalog was last confirmed 5 seconds ago
    And a peer confirmed the same version 1 second ago
    When a stream of 10 events is asked for
    Then the caller has events 1 to 10 and a whole answer after 1 send

  Scenario: should age a confirmation while the host is suspended
    Given a confirmation taken now
    When the monotonic clock stands still while the time of day moves 6 seconds
    Then the confirmation is 6 seconds old
    When the time of day is set back 10 seconds
    Then the confirmation is 0 seconds old by the monotonic clock

  Scenario: should never go back to an older catalog
    Given a holder of catalog version 7
    When version 6 is offered
    Then version 7 is in force
    When version 9 is offered
    Then version 9 is in force

  Scenario: should choose the route with the longest prefix
    Given routes with the prefixes "/a/", "/a/b/" and "/"
    Then "/a/b/c" goes to "/a/b/", "/a/x" to "/a/", "/z" to "/" and "/a/b" to "/a/"

  Scenario: should keep repeats within the budget of the whole fleet
    Given 5 processes that share a budget of 0.2 repeats a request and 136 more in 10 seconds
    When each has 400 requests in 10 seconds that all want to be repeated
    Then at most 536 repeats were sent in any 10 seconds

  Scenario Outline: should keep the whole fleet within what a cold host bears
    Given <processes> processes that each send as much as they may to a host that bears <bears> a second
    Then the host gets at most <most> requests in any second

    Examples:
      | processes | bears | most |
      | 5         | 36    | 59   |
      | 34        | 17    | 30   |
      | 1         | 36    | 59   |

  Scenario Outline: should pass on each event once, in order, however bytes are cut
    Given events 1 to 9 cut into pieces of <size> bytes, of two attempts that overlap
    Then the spliced stream holds events 1 to 9 once each

    Examples:
      | size |
      | 1    |
      | 5    |
      | 64   |
      | 4096 |

  Scenario: should not pass on a stream with a missing event
    Given events 1 to 3 followed by event 5
    Then the spliced stream is broken

  Scenario: should keep lapsed announcements for a while after an outage
    Given a host that a listing after an outage does not name
    Then it is kept for 1800 milliseconds and then dropped

  Scenario: should forget nothing that lines of log say under pressure but count it
    Given a log buffer whose reader is slow
    When 10000 long lines are written at once
    Then memory stays bounded and the number of dropped lines is told

  Scenario Outline: should <do> a host that is missing after the store was away for <seconds> seconds
    Given a fleet's state before a store that names a host
    When the store is away for <seconds> seconds and the host leaves meanwhile
    Then the host is <known> half a second after the store's return, and dropped 3 seconds after

    Examples:
      | do           | seconds | known   |
      | drop at once | 1       | dropped |
      | keep         | 5       | kept    |

  Scenario: should drop at once a host that leaves a second after the store's return
    Given a fleet's state before a store that names a host
    When the store is away for 5 seconds, and the host leaves 1 second after its return
    Then the host is dropped half a second later

  Scenario: should stay with the last attempt that is allowed when its group is doubted
    Given a relay before 2 groups of "small"
    And every group pauses for 700 milliseconds after its first 2 events
    When a stream of 10 events is asked for
    Then the caller has events 1 to 10 and a whole answer after 2 sends

  Scenario: should refuse a request that was beginning to run at three crashes
    Given a relay before 6 groups of "small"
    And a request that crashes every group as it begins to run
    When it is sent again and again with other requests beside it
    Then at most 3 groups crash by it and it is refused as "crashes_upstreams"
    And the other requests are not refused

  Scenario: should blame nobody for a channel that is reset alone
    Given a relay before 2 groups of "small"
    And the first group is reset within event 1
    When a stream of 10 events is asked for
    Then the caller has events 1 to 10 and a whole answer after 2 sends
    And nobody is refused

  Scenario: should remember no models but those that exist
    Given a relay before 1 groups of "small"
    When 1000 streams of unknown models are asked for
    Then the demand names only "small"

  Scenario: should tell a request's story in its log lines and counts
    Given a relay before 2 groups of "small"
    And the first group is reset within event 5
    When a stream of 10 events is asked for
    Then its lines are "request_sent, request_attempt_ended, request_sent, request_ended"
    And the metrics count 1 request as "answered", 1 attempt as "reset" and 1 first byte

  Scenario Outline: should not take messages for fresh that waited while the process was <how>
    Given a process that ticks
    When it is <how> for 4 seconds and then reads its messages <order> its timers run
    Then the messages are not taken for fresh
    And they are again a second later

    Examples:
      | how       | order  |
      | stopped   | before |
      | stopped   | after  |
      | suspended | before |
      | suspended | after  |
