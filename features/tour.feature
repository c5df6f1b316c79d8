@tour
Feature: The tour in the README

  Scenario: should serve a caller with separate processes
    Given the tour's processes run
    When the declarations are applied with oleanderctl
    Then a caller that looks up an address receives a complete streamed response
    And oleanderctl takes a zone out
    And the processes stop on SIGTERM with exit code 0
