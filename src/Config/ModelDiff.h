#pragma once

#include "Config/ServiceModel.h"

#include <string>
#include <vector>

namespace marigold::config {

/// One difference between two models.
struct ModelChange {
  /// What was changed, for example "service crew-desk slots" or
  /// "service crew-desk route GET,HEAD /shifts deadline".
  std::string Subject_;
  /// Earlier value in the form of the text; empty when the subject was added.
  std::string Before_;
  /// Later value in the form of the text; empty when the subject was removed.
  std::string After_;

  friend bool operator==(const ModelChange &, const ModelChange &) = default;
};

/// Differences in the order of names. Both models must be normalized.
std::vector<ModelChange> diffModels(const ServiceModel &Old,
                                    const ServiceModel &New);

/// Writes "+ subject: after", "- subject: before" or
/// "~ subject: before -> after".
std::string toText(const ModelChange &Change);

} // namespace marigold::config
