Feature: Guarantees under failures

  A promise is a numbered guarantee. Each scenario provokes a failure that its
  promise covers. `npm run mutation` disables each mechanism behind a promise and
  verifies that at least one scenario of the promise then fails.

  @promise-1
  Scenario: should stop using a group whose member host died while the store is down
    Given a small cluster under load
    When the store goes down
    And a group member other than the head dies
    And 15 seconds pass
    Then promise 1 holds
    And every response is complete

  @promise-1
  Scenario: should open a group only when every member has confirmed the group's epoch
    Given a small cluster under three times its load
    When the engine of a group's head restarts without its weights
    And 30 seconds pass
    Then promise 1 holds
    And some group was opened after the fault

  @promise-2
  Scenario: should reuse a host only after its engine has left the old group
    Given a small cluster under load
    When a group member other than the head dies
    And 30 seconds pass
    Then promise 2 holds
    And some group was opened after the fault

  @promise-2
  Scenario: should send no command when the lease expired during a pause
    Given a small cluster with engines that ignore fencing tokens under load
    When the leading controller pauses while it places groups
    And 40 seconds pass
    Then promise 2 holds
    And another controller is the leader

  @promise-2
  Scenario: should detect before the next action that the lease expired during a pause
    Given a controller that holds the lease
    When its process pauses for 10 seconds
    Then it reports at once that it is not the leader

  @promise-3
  Scenario: should limit a cold upstream to its budget across all gateways
    Given a cluster of 5 gateways under load from the start, with cold upstreams
    When 10 seconds pass
    Then promise 3 holds
    And no engine has crashed

  @promise-3
  Scenario: should not assume that an upstream is warm after a restart of the gateway
    Given a small cluster under load
    When every group's head crashes and every gateway is restarted
    And 30 seconds pass
    Then promise 3 holds

  @promise-4
  Scenario: should send no request to a zone that was taken out of service
    Given a small cluster under load
    When the first zone is taken out of service
    And 20 seconds pass
    Then promise 4 holds
    And at least 95 percent of requests are served in time

  @promise-4 @promise-10
  Scenario: should stop serving at a gateway that is partitioned from the store and its peers
    Given a small cluster under load
    When one gateway is partitioned from the store, the operator and its peers
    And the first zone is taken out of service
    And 20 seconds pass
    Then the change was accepted
    And promise 4 holds
    And promise 10 holds

  @promise-5
  Scenario: should complete streams on other groups when a host dies
    Given a small cluster under load
    When a group member other than the head dies
    And 30 seconds pass
    Then every response is complete
    And some request took more than one attempt

  @promise-5
  Scenario: should not treat a stream without its end marker as complete
    Given a small cluster under load
    When engines end streams early
    And 10 seconds pass
    Then every response is complete
    And no upstream was closed
    And some request took more than one attempt

  @promise-5
  Scenario: should not deliver late responses of abandoned attempts to callers
    Given a small cluster under load
    When cancelled requests keep running and respond late
    And the heads of all groups but one pause for 2 seconds
    And 20 seconds pass
    Then every response is complete
    And some request took more than one attempt

  @promise-6
  Scenario: should report "not run" only when nothing ran
    Given a small cluster under load
    When every engine host dies
    And 40 seconds pass
    Then promise 6 holds
    And some request was refused as not run
    And some request failed without being reported as not run

  @promise-7
  Scenario: should run an order once when responses of the store are lost
    Given a small cluster under load
    When responses of the store are lost or delayed while orders are sent twice
    And 40 seconds pass
    Then promise 7 holds
    And every order placed has run

  @promise-7
  Scenario: should refuse an order that cannot be claimed
    Given a small cluster under load
    When the store goes down
    And the same orders are sent through every gateway
    And 10 seconds pass
    Then promise 7 holds
    And some request was refused as not run

  @promise-7
  Scenario: should not retry an order whose connection broke
    Given a small cluster under load
    When services drop their responses
    And 20 seconds pass
    Then promise 7 holds
    And some order's outcome is unknown

  @promise-7
  Scenario: should run an order once when its gateway crashes and the caller retries at another
    Given a small cluster under load
    When a gateway crashes with orders in flight
    And 40 seconds pass
    Then promise 7 holds

  @promise-7
  Scenario: should run an order once when its caller disconnects and retries
    Given a small cluster under load
    When callers disconnect with orders in flight and retry them through another gateway
    And 20 seconds pass
    Then promise 7 holds
    And every order placed has run

  @promise-8
  Scenario: should send no request to an upstream that is leaving
    Given a small cluster under load
    When a service host and a group member start to leave
    And 30 seconds pass
    Then promise 8 holds
    And every response is complete

  @promise-9
  Scenario: should interrupt no request when a gateway shuts down
    Given a small cluster under load
    When responses take many seconds
    And a gateway shuts down gracefully
    And 40 seconds pass
    Then promise 9 holds
    And no caller was refused by the gateway that shut down

  @promise-10
  Scenario: should report a change as accepted only when every gateway applies it
    Given a small cluster under load
    And changes must be in force at the moment they are accepted
    When one gateway is partitioned from the store, the operator and its peers
    And the first zone is taken out of service
    And 20 seconds pass
    Then the change was accepted
    And promise 10 holds

  @promise-10
  Scenario: should never revert to an older configuration
    Given a copy of the configuration at revision 7
    When a stale read returns revision 6
    Then the copy is still at revision 7
    And the stale read does not confirm the configuration

  @promise-10
  Scenario: should keep serving during a store outage that affects every gateway
    Given a small cluster under load
    When the store goes down
    And 60 seconds pass
    Then every model request was served in time since the fault
    And promise 10 holds

  @promise-7
  Scenario: should expire a completed order after a day but never an open claim
    Given an order store with a completed order and one whose outcome is unknown
    When 26 hours pass for the order store
    Then the record of the completed order has expired and the claim on the other remains

  @promise-7
  Scenario: should let operators settle only orders whose gateway is not listed
    Given an order store with a completed order and one whose outcome is unknown
    Then settling the unknown order is refused while its gateway is listed
    And settling it is accepted once its gateway is removed, and it can be claimed again
    And settling the completed order is refused
