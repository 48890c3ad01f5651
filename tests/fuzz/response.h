#ifndef FIGLUG_TESTS_FUZZ_RESPONSE_H_
#define FIGLUG_TESTS_FUZZ_RESPONSE_H_

#include <string_view>

#include "fuzz.h"

namespace figlug::testing {

/// \brief Checks wire::ResponseReader: its result does not depend on how the
/// bytes arrive, a response keeps the limits and is what its framing says, and
/// it is accepted again after it was written out plainly.
[[nodiscard]] Verdict CheckResponse(std::string_view bytes);

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_FUZZ_RESPONSE_H_
