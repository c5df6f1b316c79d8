@revoked-keys
Feature: Revoked keys at nodes that the store turns away

  # Guards against nodes that make each other's confirmation of the catalog
  # younger with each status, and accept a revoked key until the store responds.
  Scenario Outline: should refuse a revoked key in time at nodes that the store turns away
    Given <nodes> nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When a key is revoked while the store turns away the last <away> nodes and statuses wait <delay> milliseconds to be read
    Then no node sends a request with the key later than 5 seconds after that

    Examples:
      | nodes | away | delay |
      | 5     | 2    | 80    |
      | 8     | 3    | 80    |
      | 12    | 4    | 80    |
      | 12    | 4    | 200   |
      | 12    | 4    | 900   |
      | 12    | 4    | 1800  |
