#include "figlug/wire/response_reader.h"

#include <string>
#include <string_view>

#include <CppUTest/TestHarness.h>

namespace figlug::wire {
namespace {

constexpr ResponseLimits kLimits = {1U << 10, 1U << 10};

/// \brief What a reader makes of bytes that a peer sends before it closes.
struct Reading {
  tl::expected<HttpResponse, ResponseError> m_result;
  std::size_t m_used = 0;
  bool m_keeps_connection = false;
};

// Passes the bytes on in pieces, as they would arrive.
Reading ReadAll(std::string_view bytes,
                std::size_t piece = std::string_view::npos,
                bool is_head_request = false) {
  ResponseReader reader(kLimits, is_head_request);
  Reading reading;
  std::size_t arrived = 0;
  while (arrived < bytes.size() && !reader.is_complete()) {
    arrived += std::min(piece, bytes.size() - arrived);
    const auto used =
        reader.Read(bytes.substr(reading.m_used, arrived - reading.m_used));
    if (!used) {
      reading.m_result = tl::unexpected(used.error());
      return reading;
    }
    reading.m_used += *used;
  }
  const bool is_framed = reader.is_complete();
  if (const auto ended = reader.End(); !ended) {
    reading.m_result = tl::unexpected(ended.error());
    return reading;
  }
  reading.m_keeps_connection = is_framed && reader.KeepsConnection();
  reading.m_result = reader.Take();
  return reading;
}

std::string WithHead(std::string_view head) {
  return std::string(head) + "\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok";
}

}  // namespace

TEST_GROUP(ResponseReader){};

TEST(ResponseReader, ReadsAWholeResponseInAnyPieces) {
  const std::string forms[] = {
      WithHead("HTTP/1.1 500 Internal Server Error"),
      "HTTP/1.1 500 \r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\no\r\n1;x=y\r\nk\r\n0\r\nX-Id: 8\r\n\r\n",
      "HTTP/1.1 100 Continue\r\nX-Id: 6\r\n\r\n" +
          WithHead("HTTP/1.1 500 Internal Server Error")};
  for (const std::string& form : forms) {
    for (std::size_t piece = 1; piece <= form.size(); ++piece) {
      const Reading reading = ReadAll(form, piece);
      CHECK(reading.m_result.has_value());
      LONGS_EQUAL(500, reading.m_result->m_status);
      STRCMP_EQUAL("ok", reading.m_result->m_body.c_str());
      LONGS_EQUAL(1, CountHeaders(reading.m_result->m_headers, "X-Id"));
      STRCMP_EQUAL("7",
                   FindHeader(reading.m_result->m_headers, "X-Id")->c_str());
      LONGS_EQUAL(form.size(), reading.m_used);
      CHECK(reading.m_keeps_connection);
    }
  }
}

// Guards against a status that is read as another one: 65736 as 200.
TEST(ResponseReader, AStatusIsThreeDigits) {
  for (const char* status : {"65736", "2000", "20", "+200", "-200", "0x200",
                             "099", "600", "101", "200abc", "OK", ""}) {
    const Reading reading =
        ReadAll(WithHead("HTTP/1.1 " + std::string(status) + " OK"));
    CHECK_FALSE(reading.m_result.has_value());
    CHECK(reading.m_result.error() == ResponseError::kMalformed);
  }
}

// Guards against a success whose fields are those of the next response.
TEST(ResponseReader, AHeadThatIsCompletedByTheNextOneIsMalformed) {
  const std::string cut =
      "HTTP/1.1 200 OK\r\nDate: today\r\nX-Seal: s\r\nX-Length: 2\r\n";
  for (std::size_t length = 1; length <= cut.size(); ++length) {
    const Reading reading = ReadAll(
        cut.substr(0, length) + WithHead("HTTP/1.1 500 Internal Server Error"));
    CHECK_FALSE(reading.m_result.has_value());
  }
}

// Guards against an answer whose end is not where its target puts it.
TEST(ResponseReader, AnAmbiguousFramingIsMalformed) {
  for (const char* fields :
       {"Content-Length: 2\r\nContent-Length: 2", "Content-Length: 2, 2",
        "Content-Length: -2", "Content-Length: +2", "Content-Length: 2x",
        "Content-Length:", "Transfer-Encoding: chunked\r\nContent-Length: 2",
        "Content-Length: 2\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip", "no colon here", "X-Id : 7",
        "X-Id: 7\r\n 8", "X-Id: 7\r\n\t8", ": 7"}) {
    const Reading reading =
        ReadAll("HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n\r\nok");
    CHECK_FALSE(reading.m_result.has_value());
  }
  for (const char* chunks :
       {"2\r\nokay\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n",
        "-2\r\nok\r\n0\r\n\r\n", "\r\nok\r\n0\r\n\r\n", "2\nok\n0\n\n"}) {
    const Reading reading =
        ReadAll("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                std::string(chunks));
    CHECK_FALSE(reading.m_result.has_value());
  }
}

// Guards against a trailer that swallows the head of the next response, and a
// body whose coding its version does not know.
TEST(ResponseReader, AChunkedBodyEndsWhereItSays) {
  for (const char* form :
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
        "X-Cut: oHTTP/1.1 500 Error\r\n\r\n",
        "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
    const Reading reading = ReadAll(form);
    CHECK_FALSE(reading.m_result.has_value());
    CHECK(reading.m_result.error() == ResponseError::kMalformed);
  }
}

// Guards against an empty success where the body ends with the connection.
TEST(ResponseReader, ABodyWithoutALengthEndsWithTheConnection) {
  for (const char* field : {"Connection: keep-alive", "Connection: close",
                            "Keep-Alive: timeout=4"}) {
    const Reading reading =
        ReadAll("HTTP/1.1 200 OK\r\n" + std::string(field) + "\r\n\r\nbody");
    CHECK(reading.m_result.has_value());
    STRCMP_EQUAL("body", reading.m_result->m_body.c_str());
    CHECK_FALSE(reading.m_keeps_connection);
  }
}

TEST(ResponseReader, AResponseThatEndsEarlyIsIncomplete) {
  const std::string whole = WithHead("HTTP/1.1 200 OK");
  for (std::size_t length = 0; length < whole.size(); ++length) {
    const Reading reading = ReadAll(std::string_view(whole).substr(0, length));
    CHECK_FALSE(reading.m_result.has_value());
    CHECK(reading.m_result.error() == ResponseError::kIncomplete);
  }
}

TEST(ResponseReader, AResponseOverALimitIsTooLarge) {
  const std::string filler(2U << 10, 'x');
  for (const std::string& form :
       {"HTTP/1.1 200 OK\r\nX-Filler: " + filler,
        "HTTP/1.1 200 OK\r\nContent-Length: 2048\r\n\r\n" + filler,
        "HTTP/1.1 200 OK\r\n\r\n" + filler,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + filler,
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + filler}) {
    const Reading reading = ReadAll(form);
    CHECK_FALSE(reading.m_result.has_value());
    CHECK(reading.m_result.error() == ResponseError::kTooLarge);
  }
}

// Guards against a head without end whose parts end where a line begins, or a
// few bytes later.
TEST(ResponseReader, AHeadIsBoundedHoweverItArrives) {
  const std::string line = "X-Filler: x\r\n";
  for (std::size_t begin = 0; begin <= line.size(); ++begin) {
    ResponseReader reader(kLimits, false);
    std::string pending = "HTTP/1.1 200 OK\r\n" + line.substr(0, begin);
    std::size_t arrived = pending.size();
    bool is_rejected = false;
    while (!is_rejected && arrived < 4 * kLimits.m_head_bytes) {
      const auto used = reader.Read(pending);
      is_rejected = !used;
      pending.erase(0, used.value_or(0));
      pending += line.substr(begin) + line.substr(0, begin);
      arrived += line.size();
    }
    CHECK(is_rejected);
  }
}

// Guards against a limit that depends on how the line that begins a chunk
// arrives.
TEST(ResponseReader, AChunkLineIsBoundedHoweverItArrives) {
  const std::string form =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=" +
      std::string(kLimits.m_head_bytes, 'x') + "\r\no\r\n0\r\n\r\n";
  for (const std::size_t piece : {std::size_t{7}, form.size()}) {
    const Reading reading = ReadAll(form, piece);
    CHECK_FALSE(reading.m_result.has_value());
    CHECK(reading.m_result.error() == ResponseError::kTooLarge);
  }
}

TEST(ResponseReader, AResponseToHeadHasNoBody) {
  const Reading reading = ReadAll(
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nHTTP/1.1", 1000, true);
  CHECK(reading.m_result.has_value());
  STRCMP_EQUAL("", reading.m_result->m_body.c_str());
  LONGS_EQUAL(38, reading.m_used);
}

}  // namespace figlug::wire
