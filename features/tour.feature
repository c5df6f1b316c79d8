@tour
Feature: The README's tour

  Scenario: should serve a caller through separate processes
    Given the tour's processes run
    When the declarations are applied with oleanderctl
    Then a caller that asks for an address gets a whole streamed answer
    And oleanderctl takes a zone out
    And the processes stop on SIGTERM with exit code 0
