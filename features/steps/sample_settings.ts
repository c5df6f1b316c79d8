/** Settings of a node, as the platform fills them in. */
export const NODE_SETTINGS = `[node]
id = node-1
availability_zone = valley-a
region = kathmandu-valley
ip = 10.1.0.4
caller_address = 10.1.0.4:8641
ready_address = 10.1.0.4:8642
directory_address = 10.1.0.4:8643
internal_port = 7340
metrics_port = 9464
seeds = 10.1.0.4:8229
[platform]
store = 10.200.1.7:8223
heartbeat = 1200ms
[bounds]
confirm_keys_within = 5000ms
change_in_force_within = 2000ms
drain_within = 2s
shutdown_within = 8s
stall = 4000ms
retry_ratio = 0.2
retry_window = 10s
retry_slack = 136
load_window = 5s
address_ttl_max = 5s
`;
