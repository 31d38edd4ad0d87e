#pragma once

#include "Burn/BurnCalculator.h"
#include "Schema/SettingTypes.h"
#include "Support/Clock.h"

#include <map>
#include <vector>

namespace marigold::burn {

/// Scrapes /status and /metrics of nodes. Further nodes are discovered from the
/// host lists of the configured ones. A discovered node is scraped until it is
/// listed as dead or gone, so that a node that stops answering is reported as
/// missing data.
class BurnScraper {
public:
  explicit BurnScraper(std::vector<Address> Nodes);

  /// Updates the known nodes and scrapes all of them. Blocks until all requests
  /// have finished; each one times out after Timeout.
  std::vector<NodeSample> scrape(Duration Timeout);

private:
  struct KnownNode {
    std::string FailureDomain_;
    bool Configured_ = false;
  };

  void updateNodes(Duration Timeout);

  std::map<Address, KnownNode> Nodes_;
};

} // namespace marigold::burn
