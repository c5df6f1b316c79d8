@departed_callers
Feature: Callers that disconnect

  Scenario: should not send requests of callers that disconnected while the event loop was blocked
    Given a relay behind a server on loopback
    When the event loop is blocked for 400 milliseconds in which 20 callers send requests and disconnect
    Then the upstreams receive no request

  Scenario: should not retry requests of callers that disconnected while the event loop was blocked
    Given a relay behind a server on loopback
    When the event loop is blocked for 400 milliseconds in which 20 requests fail and their callers disconnect
    Then the upstreams receive no request

  Scenario: should send the requests of callers that still wait after the event loop was blocked
    Given a relay behind a server on loopback
    When the event loop is blocked for 400 milliseconds in which 20 callers send requests
    Then the upstreams receive 20 requests

  Scenario: should retry the requests of callers that still wait after the event loop was blocked
    Given a relay behind a server on loopback
    When the event loop is blocked for 400 milliseconds in which 20 requests fail
    Then the upstreams receive some requests

  Scenario: should cancel a stream as soon as its caller closes its side of the connection
    Given a relay behind a server on loopback
    When a caller with a full connection closes its side in the middle of a stream
    Then the stream is cancelled within 300 milliseconds
