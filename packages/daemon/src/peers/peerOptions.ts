import type { ChannelOptions } from '@grpc/grpc-js';

/**
 * Keepalive of connections between entries. A dead connection is detected
 * within the interval plus the timeout, provided that calls are open on it.
 */
export const PEER_KEEPALIVE_OPTIONS: ChannelOptions = {
  'grpc.keepalive_time_ms': 5_000,
  'grpc.keepalive_timeout_ms': 2_000,
  'grpc.keepalive_permit_without_calls': 0,
};

/** Channel options: one address, no service discovery, no gRPC retries. */
export const PEER_CHANNEL_OPTIONS: ChannelOptions = {
  ...PEER_KEEPALIVE_OPTIONS,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.initial_reconnect_backoff_ms': 200,
  'grpc.max_reconnect_backoff_ms': 2_000,
  'grpc.client_idle_timeout_ms': 60_000,
};
