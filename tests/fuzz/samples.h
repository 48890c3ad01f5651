#ifndef FIGLUG_TESTS_FUZZ_SAMPLES_H_
#define FIGLUG_TESTS_FUZZ_SAMPLES_H_

#include <string>
#include <vector>

#include "figlug/core/messages.h"
#include "figlug/core/record.h"
#include "figlug/wire/frame.h"

namespace figlug::testing {

/// \brief Messages of all kinds, empty and filled ones.
[[nodiscard]] std::vector<core::Record> SampleRecords();
[[nodiscard]] std::vector<core::Datagram> SampleDatagrams();
[[nodiscard]] std::vector<wire::Frame> SampleFrames();

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_FUZZ_SAMPLES_H_
