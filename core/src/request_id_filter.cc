#include "figlug/core/request_id_filter.h"

#include <algorithm>

namespace figlug::core {

bool RequestIdFilter::Insert(SliceIndex slice, const RequestId& id) {
  SliceRequestIds& ids = m_slices[slice];
  if (id.created_at() < ids.m_unknown_before || !ids.m_ids.insert(id).second) {
    return false;
  }
  Trim(ids);
  return true;
}

void RequestIdFilter::Remove(SliceIndex slice, const RequestId& id) {
  const auto it = m_slices.find(slice);
  if (it != m_slices.end()) {
    it->second.m_ids.erase(id);
  }
}

void RequestIdFilter::RaiseUnknownBefore(SliceIndex slice, WallTime time) {
  SliceRequestIds& ids = m_slices[slice];
  ids.m_unknown_before = std::max(ids.m_unknown_before, time);
}

void RequestIdFilter::Merge(SliceIndex slice, const SliceRequestIds& ids) {
  SliceRequestIds& own = m_slices[slice];
  own.m_unknown_before = std::max(own.m_unknown_before, ids.m_unknown_before);
  own.m_ids.insert(ids.m_ids.begin(), ids.m_ids.end());
  Trim(own);
}

void RequestIdFilter::ClearSlice(SliceIndex slice) {
  m_slices.erase(slice);
}

SliceRequestIds RequestIdFilter::Find(SliceIndex slice) const {
  const auto it = m_slices.find(slice);
  return it == m_slices.end() ? SliceRequestIds{} : it->second;
}

void RequestIdFilter::Trim(SliceRequestIds& ids) const {
  while (ids.m_ids.size() > m_ids_per_slice) {
    const auto oldest = ids.m_ids.begin();
    ids.m_unknown_before =
        std::max(ids.m_unknown_before,
                 oldest->created_at() + std::chrono::milliseconds(1));
    ids.m_ids.erase(oldest);
  }
}

}  // namespace figlug::core
