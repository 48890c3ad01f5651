#include "output.h"

#include <iostream>

namespace figlug::ctl {

using nlohmann::json;
using runtime::OperatorError;

void Print(const Request& request, const json& value, const std::string& text) {
  if (request.m_is_json) {
    std::cout << value.dump(2) << '\n';
  } else {
    std::cout << text << '\n';
  }
}

int Fail(const Request& request, int code, const std::string& problem) {
  if (request.m_is_json) {
    std::cout << json{{"error", problem}, {"exit", code}}.dump(2) << '\n';
  }
  std::cerr << "figlugctl: " << problem << '\n';
  return code;
}

int Fail(const Request& request,
         OperatorError error,
         const std::string& current) {
  switch (error) {
    case OperatorError::kLogUnreachable:
      return Fail(request, kExitUnknown,
                  "the log does not respond; nothing was changed");
    case OperatorError::kUnknown:
      return Fail(
          request, kExitUnknown,
          "the log did not confirm the change; it may still take effect");
    case OperatorError::kConflict:
      return Fail(request, kExitRefused,
                  "the change conflicts with an earlier one; " + current);
    case OperatorError::kRejected:
      return Fail(request, kExitRefused, "the change was rejected; " + current);
  }
  return kExitRefused;
}

}  // namespace figlug::ctl
