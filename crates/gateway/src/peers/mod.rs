//! Shares between VMs what one of them read of the store.

mod news_board;
mod news_chain;
mod peer_news;
mod roster;

pub(crate) use news_board::NewsBoard;
pub(crate) use news_chain::NewsChain;
pub(crate) use peer_news::GatewayPeers;
pub(crate) use roster::{keep_roster, VmRoster};
