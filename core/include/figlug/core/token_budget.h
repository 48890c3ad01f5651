#ifndef FIGLUG_CORE_TOKEN_BUDGET_H_
#define FIGLUG_CORE_TOKEN_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace figlug::core {

/// \brief Limits retries and hedges to a share of the first attempts.
///
/// \code
/// budget.Deposit(10);         // a first attempt allows 0.10 retries
/// if (budget.Withdraw()) Retry();
/// \endcode
class TokenBudget {
 public:
  /// \brief Adds the share of a token that one request allows, in percent.
  void Deposit(std::uint32_t percent) noexcept {
    m_hundredths = std::min(m_hundredths + percent, kMaxHundredths);
  }
  /// \brief Whether a whole token is available.
  [[nodiscard]] bool has_token() const noexcept {
    return m_hundredths >= kOneToken;
  }
  /// \brief Takes one whole token.
  /// \returns Whether a whole token was available.
  [[nodiscard]] bool Withdraw() noexcept {
    if (!has_token()) {
      return false;
    }
    m_hundredths -= kOneToken;
    return true;
  }

 private:
  static constexpr std::uint32_t kOneToken = 100;
  static constexpr std::uint32_t kMaxHundredths = 10 * kOneToken;

  std::uint32_t m_hundredths = kOneToken;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TOKEN_BUDGET_H_
