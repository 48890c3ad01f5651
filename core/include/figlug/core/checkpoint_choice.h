#ifndef FIGLUG_CORE_CHECKPOINT_CHOICE_H_
#define FIGLUG_CORE_CHECKPOINT_CHOICE_H_

#include <span>

#include "figlug/core/control_state.h"
#include "figlug/core/record.h"

namespace figlug::core {

/// \brief Returns whether a checkpoint's state is one of this log: it has
/// applied the log's records before its next offset, and no others.
/// \param entries The retained records of the log in order.
[[nodiscard]] bool IsStateOfLog(const ControlState& state,
                                std::span<const LogEntry> entries);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_CHECKPOINT_CHOICE_H_
