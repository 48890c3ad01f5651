#include "figlug/runtime/runtime_error.h"

namespace figlug::runtime {

std::string ToString(const RuntimeError& error) {
  return "cannot " + error.m_action + ": " + error.m_cause;
}

}  // namespace figlug::runtime
