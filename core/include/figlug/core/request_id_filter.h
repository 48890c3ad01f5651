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

/// \brief Ids of the requests that the owners of a slice have admitted.
struct SliceRequestIds {
  /// A request whose id was created before this time may have been executed,
  /// whether or not `m_ids` contains it.
  WallTime m_unknown_before{};
  std::set<RequestId> m_ids;

  bool operator==(const SliceRequestIds&) const = default;
};

/// \brief Detects duplicates of requests that may be executed only once.
///
/// Memory is bounded: when a slice is full, its oldest ids are evicted and
/// `SliceRequestIds::m_unknown_before` is raised past them.
///
/// \code
/// if (!filter.Insert(slice, id)) AnswerOutcomeUnknown();
/// \endcode
class RequestIdFilter {
 public:
  /// \param ids_per_slice Maximum number of ids kept for each slice, at
  /// least 1.
  explicit RequestIdFilter(std::size_t ids_per_slice = 1024)
      : m_ids_per_slice(ids_per_slice) {}

  /// \brief Records an id.
  /// \returns False if the id may have been admitted before.
  [[nodiscard]] bool Insert(SliceIndex slice, const RequestId& id);
  /// \brief Removes an id whose request was not executed.
  void Remove(SliceIndex slice, const RequestId& id);
  /// \brief From now on, `Insert` refuses the ids of a slice that were created
  /// before `time`, because their requests may have been executed.
  void RaiseUnknownBefore(SliceIndex slice, WallTime time);
  /// \brief Adds the ids that a previous owner of the slice has reported.
  void Merge(SliceIndex slice, const SliceRequestIds& ids);
  /// \brief Discards the ids of a slice and its `m_unknown_before`.
  void ClearSlice(SliceIndex slice);
  /// \brief The ids of a slice; empty if there are none.
  [[nodiscard]] SliceRequestIds Find(SliceIndex slice) const;

 private:
  void Trim(SliceRequestIds& ids) const;

  std::size_t m_ids_per_slice;
  std::map<SliceIndex, SliceRequestIds> m_slices;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_REQUEST_ID_FILTER_H_
