#ifndef FIGLUG_WIRE_FWD_H_
#define FIGLUG_WIRE_FWD_H_

/// \file
/// \brief Forward declarations of the wire library.

/// \brief Encodes and decodes the messages between figlug's processes and the
/// records of its log.
namespace figlug::wire {

struct WireError;      // wire_error.h
struct Header;         // http_message.h
struct HttpRequest;    // http_message.h
struct HttpResponse;   // http_message.h
class ResponseReader;  // response_reader.h
struct AttemptFrame;   // frame.h
struct ReplyFrame;     // frame.h
struct CancelFrame;    // frame.h
struct RawEntry;       // log_codec.h
struct LogPage;        // log_codec.h

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_FWD_H_
