Feature: What callers are told when a minion fails
  The first request meets the fault at either of two minions; both are well
  afterwards.

  Scenario Outline: The caller is told the truth and nothing runs twice
    Given two minions of which the first asked <fault>
    When a caller sends a request whose idempotence is <idempotent>
    Then the caller is told <outcome>
    And the minions were asked <times> times

    Examples:
      | fault                      | idempotent | outcome  | times |
      | refuses before running     | false      | answered | 2     |
      | refuses before running     | true       | answered | 2     |
      | resets the connection      | false      | unknown  | 1     |
      | resets the connection      | true       | answered | 2     |
      | ends its body early        | false      | unknown  | 1     |
      | ends its body early        | true       | answered | 2     |
      | answers without a length   | false      | unknown  | 1     |
      | answers without a length   | true       | answered | 2     |
      | answers another request    | false      | unknown  | 1     |
      | answers another request    | true       | answered | 2     |
      | stays silent               | false      | unknown  | 1     |
