#ifndef FIGLUG_CORE_REQUEST_ID_FILTER_H_
#define FIGLUG_CORE_REQUEST_ID_FILTER_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/request_id.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Ids of the requests that a slice's owners have admitted.
struct SliceRequestIds {
  /// Ids made before this may have run; nothing more is known of them.
  WallTime m_unknown_before{};
  std::set<RequestId> m_ids;

  bool operator==(const SliceRequestIds&) const = default;
};

/// \brief Finds second copies of requests that may run only once.
///
/// Memory is bounded: the oldest ids give way, and the time before which
/// nothing is known moves up to them.
///
/// \code
/// if (!filter.Insert(slice, id)) AnswerOutcomeUnknown();
/// \endcode
class RequestIdFilter {
 public:
  /// \param ids_per_slice Ids kept for each slice, at least 1.
  explicit RequestIdFilter(std::size_t ids_per_slice = 1024)
      : m_ids_per_slice(ids_per_slice) {}

  /// \brief Notes an id.
  /// \returns False when the id may have been admitted before.
  [[nodiscard]] bool Insert(SliceIndex slice, const RequestId& id);
  /// \brief Forgets an id whose request has not run.
  void Remove(SliceIndex slice, const RequestId& id);
  /// \brief Treats every id of a slice made before a time as perhaps run.
  void RaiseUnknownBefore(SliceIndex slice, WallTime time);
  /// \brief Adds what a former owner knows.
  void Merge(SliceIndex slice, const SliceRequestIds& ids);
  /// \brief Forgets what is known of a slice.
  void ClearSlice(SliceIndex slice);
  /// \brief What is known of a slice.
  [[nodiscard]] SliceRequestIds Find(SliceIndex slice) const;

 private:
  void Trim(SliceRequestIds& ids) const;

  std::size_t m_ids_per_slice;
  std::map<SliceIndex, SliceRequestIds> m_slices;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_REQUEST_ID_FILTER_H_
