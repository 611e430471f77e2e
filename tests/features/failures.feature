Feature: Callers are not affected by failing and restarting processes

  Scenario: An engine crashes during streaming
    Given a fleet under load
    When an engine crashes
    Then every caller has received its complete response

  Scenario: A sidecar is killed during streaming
    Given a fleet under load
    When a sidecar is killed
    Then every caller has received its complete response

  Scenario: A suspended sidecar is avoided until it resumes
    Given a fleet under load
    When a sidecar is suspended
    Then after 2 seconds no request waits for it
    When it is resumed
    Then it receives work again
    And every caller has received its complete response

  Scenario: A sidecar that is shutting down receives no new work
    Given a fleet under load
    When a sidecar receives SIGTERM
    Then its engine receives no new work after 3 seconds
    And every caller has received its complete response

  Scenario: Every process is restarted twice
    Given a fleet under load
    When every process is restarted twice, one after the other
    Then every caller has received its complete response

  Scenario: All entry instances restart while the log is down
    Given a fleet under load
    When all entry instances restart while the log is down
    Then each of them responds within a second of opening its port
    And the prefix hit rate is at least 0.95 of the rate before

  Scenario: An entry instance resumes after a configuration change
    Given a fleet under load
    When a key is revoked while an entry instance is suspended
    Then the resumed entry instance rejects the key immediately
    And every process has the new revision within 6 seconds

  Scenario: Work is cancelled when its caller disconnects
    Given a fleet under load
    When a caller disconnects during a stream
    Then its engine stops within a second

  Scenario: A payment is retried after its sidecar was suspended
    Given a fleet under load
    When a payment's sidecar is suspended and the payment is retried
    Then the payment has run at most once and every verdict is correct

  Scenario: A request crashes every engine that runs it
    Given a fleet under load
    When a request that crashes engines is sent repeatedly
    Then it has crashed at most two engines and all entries refuse it
    And every caller has received its complete response
