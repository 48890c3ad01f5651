#ifndef FIGLUG_WIRE_REQUEST_READER_H_
#define FIGLUG_WIRE_REQUEST_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/wire/http_message.h"

namespace figlug::wire {

/// \brief Why bytes are not a request.
enum class RequestError : std::uint8_t {
  /// The bytes do not follow HTTP/1.1, or can be read in two ways.
  kMalformed,
  /// The head, or the framing of a chunk, exceeds its limit.
  kTooLarge,
};

[[nodiscard]] std::string_view ToString(RequestError error) noexcept;

/// \brief Reads one HTTP/1.1 request from the bytes of a connection, strictly
/// and based on Boost.Beast. Empty lines before the request are passed over.
///
/// The result does not depend on how the bytes are cut.
///
/// \code
/// const auto used = reader.Read(bytes);
/// if (used && reader.is_complete()) Handle(reader.Take());
/// \endcode
class RequestReader {
 public:
  /// \param head_limit Largest head that is read, in bytes.
  explicit RequestReader(std::size_t head_limit);
  ~RequestReader();
  RequestReader(RequestReader&&) noexcept;
  RequestReader& operator=(RequestReader&&) noexcept;

  /// \brief Reads from the front of the bytes that have arrived. Stops behind
  /// the head, so that it can be checked before the body is read, and behind
  /// the request.
  /// \returns How many bytes were read; the others are passed again together
  /// with those that arrive later.
  [[nodiscard]] tl::expected<std::size_t, RequestError> Read(
      std::string_view bytes);
  /// \brief Drops what has been read of the body, and what follows of it.
  void DiscardBody();

  [[nodiscard]] bool has_head() const noexcept;
  [[nodiscard]] bool is_complete() const noexcept;
  /// \brief Whether the client waits for an interim response before it sends
  /// the body; requires the head.
  [[nodiscard]] bool ExpectsContinue() const;
  /// \brief Whether the connection may carry another request; requires the
  /// head.
  [[nodiscard]] bool KeepsConnection() const;
  /// \brief Whether the client speaks HTTP/1.0; requires the head.
  [[nodiscard]] bool IsHttp10() const noexcept;
  /// \brief Memory that the head uses, in bytes.
  [[nodiscard]] std::size_t head_memory() const noexcept;
  /// \brief Bytes of the body that have been read, discarded ones included.
  [[nodiscard]] std::uint64_t body_bytes() const noexcept;
  /// \brief What has been read of the request; whole if it is complete.
  [[nodiscard]] const HttpRequest& request() const noexcept;
  /// \brief Moves the complete request out of the reader.
  [[nodiscard]] HttpRequest Take();

 private:
  class Parser;
  struct State;

  [[nodiscard]] tl::expected<std::size_t, RequestError> ReadHead(
      std::string_view bytes);
  [[nodiscard]] tl::expected<std::size_t, RequestError> ReadBody(
      std::string_view bytes);

  std::unique_ptr<State> m_state;
};

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_REQUEST_READER_H_
