Feature: What must always hold

  Each scenario provokes the failure that its promise is about; `npm run mutation`
  shows that it fails when the mechanism is switched off.

  @promise-1
  Scenario: should stop using a group whose member host died while the store is down
    Given a small cluster under load
    When the store goes down
    And a host that does not lead its group dies
    And 15 seconds pass
    Then promise 1 holds
    And every answer is whole

  @promise-1
  Scenario: should open a group only when every member has confirmed its epoch
    Given a small cluster under three times its load
    When a leader's engine restarts without its weights
    And 30 seconds pass
    Then promise 1 holds
    And some group was opened after the fault

  @promise-2
  Scenario: should reuse a host only after its engine has left the old group
    Given a small cluster under load
    When a host that does not lead its group dies
    And 30 seconds pass
    Then promise 2 holds
    And some group was opened after the fault

  @promise-2
  Scenario: should send no command after a pause that outlived the lease
    Given a small cluster with engines that ignore fencing numbers under load
    When the active controller pauses in the middle of placing groups
    And 40 seconds pass
    Then promise 2 holds
    And another controller has taken over

  @promise-2
  Scenario: should notice a lease that lapsed in a pause before the next act
    Given a controller that holds the lease
    When its process pauses for 10 seconds
    Then it knows at once that it leads no more

  @promise-3
  Scenario: should hold a cold upstream's budget over all gateways
    Given a cluster of 5 gateways that send at once to cold upstreams
    When 10 seconds pass
    Then promise 3 holds
    And no engine has crashed

  @promise-3
  Scenario: should not assume that an upstream is warm after a restart of the gateway
    Given a small cluster under load
    When every group's leader crashes and every gateway is restarted
    And 30 seconds pass
    Then promise 3 holds

  @promise-4
  Scenario: should send nothing to a zone that was taken out
    Given a small cluster under load
    When the first zone is taken out
    And 20 seconds pass
    Then promise 4 holds
    And at least 95 percent of requests are served in time

  @promise-4 @promise-10
  Scenario: should stop a gateway that is cut off from the store and its peers
    Given a small cluster under load
    When one gateway is cut off from the store, the operator and its peers
    And the first zone is taken out
    And 20 seconds pass
    Then the change was accepted
    And promise 4 holds
    And promise 10 holds

  @promise-5
  Scenario: should complete streams elsewhere when a host dies under them
    Given a small cluster under load
    When a host that does not lead its group dies
    And 30 seconds pass
    Then every answer is whole
    And some request took more than one attempt

  @promise-5
  Scenario: should not take a stream without its end marker for whole
    Given a small cluster under load
    When engines end streams early
    And 10 seconds pass
    Then every answer is whole
    And no request was blamed for a crash
    And some request took more than one attempt

  @promise-5
  Scenario: should keep late answers of abandoned attempts from their callers
    Given a small cluster under load
    When cancelled requests run on and answer late
    And every leader but one pauses for 2 seconds
    And 20 seconds pass
    Then every answer is whole
    And some request took more than one attempt

  @promise-6
  Scenario: should say "not run" only when nothing ran
    Given a small cluster under load
    When every engine host dies
    And 40 seconds pass
    Then promise 6 holds
    And some request was refused as not run
    And some request failed without saying not run

  @promise-7
  Scenario: should run an order once when answers of the store are lost
    Given a small cluster under load
    When answers of the store are lost or late while orders are sent twice
    And 40 seconds pass
    Then promise 7 holds
    And every order placed has run

  @promise-7
  Scenario: should refuse an order rather than run it unclaimed
    Given a small cluster under load
    When the store goes down
    And the same orders are sent through every gateway
    And 10 seconds pass
    Then promise 7 holds
    And some request was refused as not run

  @promise-7
  Scenario: should not send an order again when its connection broke
    Given a small cluster under load
    When services lose their answers
    And 20 seconds pass
    Then promise 7 holds
    And some order's outcome is unknown

  @promise-7
  Scenario: should run an order once when its gateway crashes and the caller sends it elsewhere
    Given a small cluster under load
    When a gateway crashes with orders in flight
    And 40 seconds pass
    Then promise 7 holds

  @promise-7
  Scenario: should run an order once when its caller vanishes and sends it again
    Given a small cluster under load
    When callers vanish with orders in flight and send them through another gateway
    And 20 seconds pass
    Then promise 7 holds
    And every order placed has run

  @promise-8
  Scenario: should send nothing to an upstream that is leaving
    Given a small cluster under load
    When a service host and a group member begin to leave
    And 30 seconds pass
    Then promise 8 holds
    And every answer is whole

  @promise-9
  Scenario: should cut no request when a gateway shuts down
    Given a small cluster under load
    When answers take many seconds
    And a gateway shuts down gracefully
    And 40 seconds pass
    Then promise 9 holds
    And no caller was refused by the gateway that shut down

  @promise-10
  Scenario: should call a change accepted only when it is in force everywhere
    Given a small cluster under load
    And changes must be in force at the moment they are accepted
    When one gateway is cut off from the store, the operator and its peers
    And the first zone is taken out
    And 20 seconds pass
    Then the change was accepted
    And promise 10 holds

  @promise-10
  Scenario: should never go back to an older configuration
    Given a copy of the configuration at revision 7
    When a stale read brings revision 6
    Then the copy is still at revision 7
    And the stale read has confirmed nothing

  @promise-10
  Scenario: should serve on through an outage of the store that all share
    Given a small cluster under load
    When the store goes down
    And 60 seconds pass
    Then every model request was served in time since the fault
    And promise 10 holds

  @promise-7
  Scenario: should forget an answered order after a day but never an open claim
    Given a ledger with one answered order and one whose outcome is unknown
    When 26 hours pass for the ledger
    Then the answered order is forgotten and the other claim still stands

  @promise-7
  Scenario: should let operators settle only orders that no gateway answers for
    Given a ledger with one answered order and one whose outcome is unknown
    Then settling the unknown order is refused while its gateway is listed
    And it is accepted once its gateway is gone, and the order can be sent again
    And settling the answered order is refused
