#ifndef FIGLUG_CORE_ADMISSION_ANSWER_SIZES_H_
#define FIGLUG_CORE_ADMISSION_ANSWER_SIZES_H_

#include <cstddef>
#include <map>

#include "figlug/core/admission.h"

namespace figlug::core {

/// \brief Smoothed sizes of the answers of one service, by class of work.
///
/// \code
/// sizes.Observe(ClassOf(head), body.size());
/// bool is_large = sizes.ExpectedLarge(ClassOf(head)) > 0;
/// \endcode
class AnswerSizes {
 public:
  void Observe(WorkClass work, std::size_t bytes);
  /// \brief Expected size of a class's answers, bytes; 0 for a class without
  /// observations.
  [[nodiscard]] std::size_t Expected(WorkClass work) const;
  /// \brief The same for a class whose answers are expected to be sent in
  /// fragments, and 0 for any other class.
  [[nodiscard]] std::size_t ExpectedLarge(WorkClass work) const;

 private:
  std::map<WorkClass, double> m_by_class;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ADMISSION_ANSWER_SIZES_H_
