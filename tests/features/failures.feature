Feature: Callers do not notice failing and leaving processes

  Scenario: An engine crashes in the middle of its streams
    Given a fleet under load
    When an engine crashes
    Then every caller got its own whole answer

  Scenario: A sidecar is killed in the middle of its streams
    Given a fleet under load
    When a sidecar is killed
    Then every caller got its own whole answer

  Scenario: A frozen sidecar is passed over and taken back
    Given a fleet under load
    When a sidecar is frozen
    Then within 2 seconds no caller waits for it
    When it is thawed
    Then it is given work again
    And every caller got its own whole answer

  Scenario: A sidecar that is told to stop gets no new work
    Given a fleet under load
    When a sidecar is told to stop
    Then its engine is given nothing new after 3 seconds
    And every caller got its own whole answer

  Scenario: Every process is replaced twice
    Given a fleet under load
    When every process is replaced twice, one after the other
    Then every caller got its own whole answer

  Scenario: All entry instances restart while the log is down
    Given a fleet under load
    When all entry instances restart while the log is down
    Then each of them answers within a second of its port's opening
    And the prefix hit rate is at least 0.95 of the one before

  Scenario: An entry instance wakes after a change of configuration
    Given a fleet under load
    When a key is withdrawn while an entry instance is frozen
    Then the woken entry instance refuses the key at once
    And every process has the new revision within 6 seconds

  Scenario: A caller that leaves takes its work along
    Given a fleet under load
    When a caller leaves in the middle of a stream
    Then its engine stops within a second

  Scenario: A payment meets a frozen sidecar
    Given a fleet under load
    When a payment's sidecar is frozen and the payment is sent again
    Then the payment has run at most once and no verdict was false
