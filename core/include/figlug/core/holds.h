#ifndef FIGLUG_CORE_HOLDS_H_
#define FIGLUG_CORE_HOLDS_H_

#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "figlug/core/hold_call.h"
#include "figlug/core/hold_context.h"
#include "figlug/core/pulled_holds.h"
#include "figlug/core/pushed_holds.h"

namespace figlug::core {

/// \brief Decides which slices the local target may hold, and tracks until when
/// it may.
template <class T>
concept Holds = requires(T holds,
                         const T& view,
                         Time now,
                         SliceIndex slice,
                         const TargetReport& report,
                         const HoldContext& context,
                         HoldCallId id,
                         const HoldAnswer& answer,
                         std::string token,
                         Actions& out) {
  holds.OnReport(now, report, slice);
  holds.OnTargetEnded();
  holds.OnDisconnected();
  holds.OnHandover(slice, std::move(token));
  holds.OnRejected(now, slice);
  holds.OnOwnershipChanged();
  holds.Review(now, context, out);
  { holds.OnResult(now, id, answer) } -> std::same_as<std::optional<HoldEvent>>;
  { holds.Grant(now, context) } -> std::same_as<HoldGrant>;
  { view.HandoverOf(slice) } -> std::same_as<const std::string&>;
  { view.MayHold(now, slice) } -> std::same_as<bool>;
  { view.IsUsable(now, slice) } -> std::same_as<bool>;
};

static_assert(Holds<PulledHolds>);
static_assert(Holds<PushedHolds>);

/// \brief The model of Holds that the settings or the operators name.
class AnyHolds {
 public:
  /// \param now Start of this process.
  /// \param max_hold Longest hold that a target accepts.
  /// \param max_lease Longest lease of a member.
  AnyHolds(HoldDelivery delivery,
           Time now,
           Duration max_hold,
           Duration max_lease);

  [[nodiscard]] HoldDelivery delivery() const noexcept {
    return std::holds_alternative<PulledHolds>(m_holds) ? HoldDelivery::kPulled
                                                        : HoldDelivery::kPushed;
  }
  /// \brief Calls a function with the model.
  template <class Function>
  decltype(auto) Visit(Function&& function) {
    return std::visit(std::forward<Function>(function), m_holds);
  }
  [[nodiscard]] const std::string& HandoverOf(SliceIndex slice) const;
  [[nodiscard]] bool MayHold(Time now, SliceIndex slice) const;
  [[nodiscard]] bool IsUsable(Time now, SliceIndex slice) const;

 private:
  std::variant<PulledHolds, PushedHolds> m_holds;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_HOLDS_H_
