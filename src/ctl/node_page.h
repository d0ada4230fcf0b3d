#ifndef BRONZESTAND_CTL_NODE_PAGE_H
#define BRONZESTAND_CTL_NODE_PAGE_H

#include <string>

#include <nlohmann/json.hpp>

#include "ctl/command.h"

namespace bronzestand::ctl {

/// A page of a node's operator listener, or why it cannot be read.
struct NodePage {
  ExitCode Code_ = ExitCode::Ok; ///< Usage for a wrong address, Unreadable if the node is
  std::string Error_;
  unsigned Status_ = 0; ///< HTTP status if Code_ is Ok
  nlohmann::json Json_; ///< null unless the page is JSON
};

/// Reads a page. Takes at most 5 s.
/// \param Node operator address of the node, "address:port".
/// \param Target path of the page, for example "/state".
NodePage readPage(const std::string &Node, const std::string &Target);

} // namespace bronzestand::ctl

#endif
