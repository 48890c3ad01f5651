#include "figlug/runtime/figlug_dialect.h"

#include <CppUTest/TestHarness.h>

#include "figlug/runtime/headers.h"

namespace figlug::runtime {

TEST_GROUP(FiglugDialect){};

// Guards against a second copy of an answer that arrives where the answer to
// the next request is expected.
TEST(FiglugDialect, AResponseThatNamesAnotherRequestIsRejected) {
  const FiglugDialect dialect;
  const core::AttemptHead head{.m_request_id = core::RequestId{1, 2}};
  const wire::HttpRequest request =
      dialect.MakeTargetRequest({"GET", "/", {}, ""}, head, {});
  const ResponseTie tie = dialect.MakeResponseTie(request);
  const std::string name(kRequestIdHeader);
  CHECK(tie.m_check != nullptr);
  CHECK(tie.m_check({200, {}, ""}) == ResponseMatch::kOwn);
  CHECK(tie.m_check({200, {{name, core::ToString(head.m_request_id)}}, ""}) ==
        ResponseMatch::kOwn);
  CHECK(
      tie.m_check({200, {{name, core::ToString(core::RequestId{1, 3})}}, ""}) ==
      ResponseMatch::kForeign);
}

}  // namespace figlug::runtime
