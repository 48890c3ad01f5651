#ifndef FIGLUG_TESTING_QUERY_H_
#define FIGLUG_TESTING_QUERY_H_

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

namespace figlug::testing {

/// \brief Reads a numeric parameter from the query string of a request.
inline std::optional<std::int64_t> QueryNumber(evhttp_request* request,
                                               const char* name) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* query = evhttp_uri_get_query(uri);
  if (query == nullptr) {
    return std::nullopt;
  }
  evkeyvalq pairs;
  evhttp_parse_query_str(query, &pairs);
  const char* value = evhttp_find_header(&pairs, name);
  std::optional<std::int64_t> number;
  if (value != nullptr) {
    number = std::strtoll(value, nullptr, 10);
  }
  evhttp_clear_headers(&pairs);
  return number;
}

/// \brief Path of a request's URI, without the query string.
inline std::string PathOf(evhttp_request* request) {
  const char* path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  return path == nullptr ? "" : path;
}

}  // namespace figlug::testing

#endif  // FIGLUG_TESTING_QUERY_H_
