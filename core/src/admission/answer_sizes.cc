#include "figlug/core/admission/answer_sizes.h"

#include "figlug/core/link/send_window.h"

namespace figlug::core {
namespace {

/// Weight of a new observation in a smoothed size.
constexpr double kSizeWeight = 0.1;

}  // namespace

void AnswerSizes::Observe(WorkClass work, std::size_t bytes) {
  const auto size = static_cast<double>(bytes);
  const auto [mean, is_first] = m_by_class.emplace(work, size);
  if (!is_first) {
    mean->second += kSizeWeight * (size - mean->second);
  }
}

std::size_t AnswerSizes::Expected(WorkClass work) const {
  const auto it = m_by_class.find(work);
  return it == m_by_class.end() ? 0 : static_cast<std::size_t>(it->second);
}

std::size_t AnswerSizes::ExpectedLarge(WorkClass work) const {
  const std::size_t bytes = Expected(work);
  return bytes > kFragmentBytes ? bytes : 0;
}

}  // namespace figlug::core
